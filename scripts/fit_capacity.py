# SPDX-License-Identifier: MIT
"""Fits lines through the measurements of measure_capacity.py and works out
what the target would cost. Prints each line's slope, its value at the target
and how well it fits (R squared); draws the points with --plot FILE.svg."""
import argparse
import csv
import sys


def read(files):
    rows = []
    for name in files:
        with open(name, encoding="utf-8") as file:
            rows += [{key: float(value) for key, value in row.items()}
                     for row in csv.DictReader(file)]
    return rows


def fit(points):
    """Least squares: (at zero, slope, R squared)."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    start = mean_y - slope * mean_x
    total = sum((y - mean_y) ** 2 for _, y in points)
    left = sum((y - start - slope * x) ** 2 for x, y in points)
    return start, slope, 1 - left / total if total > 0 else 1.0


def table(rows, variable, columns, target, fixed):
    chosen = [row for row in rows
              if all(row[key] == value for key, value in fixed.items())]
    chosen.sort(key=lambda row: row[variable])
    print(f"\nby {variable} ({', '.join(f'{k} {v:g}' for k, v in fixed.items())})")
    print("| figure | " + " | ".join(f"{row[variable]:g}" for row in chosen) +
          f" | slope | R2 | line at {target:g} |")
    print("| --- |" + " --- |" * (len(chosen) + 3))
    for column in columns:
        points = [(row[variable], row[column]) for row in chosen]
        start, slope, quality = fit(points)
        print(f"| {column} | " +
              " | ".join(f"{y:.3g}" for _, y in points) +
              f" | {slope:.2g} | {quality:.2f} | {start + slope * target:.3g} |")


def plot(rows, path):
    """Bytes a second of each program against the number of daemons."""
    chosen = sorted((row for row in rows if row["servers"] == 32),
                    key=lambda row: row["daemons"])
    width, height, margin = 720, 360, 55
    top = 8.0
    most = max(row["daemons"] for row in chosen)
    colors = {"gateway": "#2a9d8f", "scheduler": "#e76f51",
              "controller": "#264653"}
    out = [f"<svg xmlns='http://www.w3.org/2000/svg' width='{width}' "
           f"height='{height}' font-family='sans-serif' font-size='12'>",
           "<rect width='100%' height='100%' fill='white'/>"]

    def place(x, y):
        return (margin + x / most * (width - 2 * margin),
                height - margin - y / top * (height - 2 * margin))

    for y in range(0, 9, 2):
        left, at = place(0, y)
        out.append(f"<line x1='{left}' x2='{width - margin}' y1='{at}' "
                   f"y2='{at}' stroke='#ddd'/><text x='20' y='{at + 4}'>"
                   f"{y}</text>")
    left, limit = place(0, 7)
    out.append(f"<line x1='{left}' x2='{width - margin}' y1='{limit}' "
               f"y2='{limit}' stroke='#d62828' stroke-dasharray='5 4'/>"
               f"<text x='{width - 150}' y='{limit - 5}'>bound 7 KB/s</text>")
    for i, (program, color) in enumerate(colors.items()):
        points = [place(row["daemons"], row[f"{program}_kb_s_max"])
                  for row in chosen]
        line = " ".join(f"{x:.1f},{y:.1f}" for x, y in points)
        out.append(f"<polyline points='{line}' fill='none' stroke='{color}' "
                   "stroke-width='2'/>")
        out += [f"<circle cx='{x:.1f}' cy='{y:.1f}' r='3' fill='{color}'/>"
                for x, y in points]
        out.append(f"<text x='{margin + 130 * i}' y='22' fill='{color}'>"
                   f"{program}, busiest</text>")
    for row in chosen:
        x, _ = place(row["daemons"], 0)
        out.append(f"<text x='{x - 8:.1f}' y='{height - 35}'>"
                   f"{row['daemons']:g}</text>")
    out.append(f"<text x='{margin}' y='{height - 12}'>daemons (32 backend "
               "servers, 40 models); KB/s for control, sent and received"
               "</text></svg>")
    with open(path, "w", encoding="utf-8") as file:
        file.write("\n".join(out) + "\n")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", nargs="+")
    parser.add_argument("--plot")
    options = parser.parse_args()
    rows = read(options.files)
    columns = [f"{program}_{figure}"
               for program in ("gateway", "scheduler", "controller")
               for figure in ("cpu_pct", "gossip_kb_s", "kb_s_max",
                              "rss_mb_max")]
    columns += ["kv_read_s", "kv_lease_s"]
    table(rows, "daemons", columns, 360,
          {"servers": 32, "models": 40, "edits_per_s": 0})
    table(rows, "servers", columns, 860,
          {"daemons": 24, "models": 40, "edits_per_s": 0})
    table(rows, "models", columns, 290,
          {"daemons": 24, "servers": 64, "edits_per_s": 0})
    table(rows, "edits_per_s", columns + ["spread_s"], 3600 / 86400,
          {"daemons": 24, "servers": 64, "models": 40})
    if options.plot:
        plot(rows, options.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
