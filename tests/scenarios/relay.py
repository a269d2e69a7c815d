# SPDX-License-Identifier: MIT
"""A TCP relay before one port, so that a script can cut what passes it."""
import socket
import threading


class Relay:
    """Passes connections on to a port on this machine until it is cut."""

    def __init__(self, target):
        self.target = target
        self.port = 0
        self.lock = threading.Lock()
        self.pairs = []
        self.listen()

    def listen(self):
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(512)
        self.port = self.listener.getsockname()[1]
        self.is_cut = False
        threading.Thread(target=self.accept, args=(self.listener,),
                         daemon=True).start()

    def accept(self, listener):
        while True:
            try:
                near, _ = listener.accept()
            except OSError:
                return
            if self.is_cut:
                near.close()
                return
            far = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                far.connect(("127.0.0.1", self.target))
            except OSError:
                near.close()
                continue
            with self.lock:
                self.pairs.append((near, far))
            for source, sink in ((near, far), (far, near)):
                source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self.pump, args=(source, sink),
                                 daemon=True).start()

    @staticmethod
    def pump(source, sink):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                sink.sendall(data)
        except OSError:
            pass
        for each in (source, sink):
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def cut(self):
        """Ends what passes now; new connections are refused."""
        self.is_cut = True
        # A shutdown wakes the thread that waits in accept; close alone
        # would leave the port listening until it returns.
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        with self.lock:
            for pair in self.pairs:
                for each in pair:
                    try:
                        each.shutdown(socket.SHUT_RDWR)
                    except OSError:
                        pass
            self.pairs = []

    def heal(self):
        self.listen()

    def close(self):
        self.cut()
