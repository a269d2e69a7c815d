# SPDX-License-Identifier: MIT
"""Signals that come while a host is starting."""
import argparse
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE.parent.parent / "platform")]

from platform_standin import deployment  # noqa: E402
from hosts import ports_of_run  # noqa: E402

PROGRAM = None


class HostStart(unittest.TestCase):
    """A host whose settings file is a pipe, and waits to be written."""

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.settings = pathlib.Path(self.folder.name, "settings.toml")
        os.mkfifo(self.settings)
        self.process = subprocess.Popen(
            [PROGRAM, "--settings", str(self.settings)],
            stdout=subprocess.PIPE)

    def tearDown(self):
        self.process.kill()
        self.process.communicate()
        self.folder.cleanup()

    def test_settings_that_change_meanwhile_do_not_end_it(self):
        ports = ports_of_run()
        addresses = {name: next(ports)
                     for name in ("callers", "ready", "peers")}
        # Opening the pipe returns once the host has opened it, too.
        with open(self.settings, "w", encoding="utf-8") as pipe:
            self.process.send_signal(signal.SIGHUP)
            newer = self.settings.with_suffix(".newer")
            newer.write_text("not settings", encoding="utf-8")
            newer.replace(self.settings)
            pipe.write(deployment.settings("h1", "z1", addresses, next(ports),
                                           [], False, 1.0, 1500))
        # It lives, and the signal that was held back has it read again.
        lines = iter(self.process.stdout.readline, b"")
        self.assertTrue(any(b'"SettingsKept"' in line for line in lines))
        self.process.send_signal(signal.SIGTERM)
        self.process.communicate(timeout=30)
        self.assertEqual(self.process.returncode, 0)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", required=True)
    known, rest = parser.parse_known_args()
    PROGRAM = known.program
    unittest.main(argv=[sys.argv[0], *rest])
