#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
"""Writes docs/figures/days.csv and docs/figures/worth.svg from journal/.

A row for each day of each score that ended, in the order of time; the plot
shows the mean worth of a score's days by site.
"""
import csv
import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
FIGURES = ROOT / "docs" / "figures"
WIDTH, HEIGHT, MARGIN = 720, 320, 40
COLORS = ["#1b6ca8", "#c4572e", "#3c8d40", "#7a4fa3"]


def scores():
    """Entries of ended scores, the oldest first."""
    for path in sorted((ROOT / "journal").glob("*.json")):
        entry = json.loads(path.read_text())
        # A score in which a day counts nothing has ended as well.
        ended = entry["score"] is not None and entry["days"]
        if entry["cmd"] == "score" and ended:
            yield entry


def write_table(entries):
    with open(FIGURES / "days.csv", "w", newline="") as out:
        rows = csv.writer(out, lineterminator="\n")
        rows.writerow(["time", "commit", "site", "day", "seed", "worth",
                       "served", "refused", "failed", "broken"])
        for entry in entries:
            for day in entry["days"]:
                rows.writerow([
                    entry["at"][0], entry["head"][:8], entry["site"],
                    day["name"], day["seed"], day["G"], day["served"],
                    day["refused"], day["failed"],
                    " ".join(sorted(day["rules"]) +
                             (["fault"] if day["fault"] else []))])


def write_plot(entries):
    by_site = {}
    for entry in entries:
        worth = [day["G"] for day in entry["days"]]
        by_site.setdefault(entry["site"], []).append(sum(worth) / len(worth))
    most = max(len(values) for values in by_site.values())
    step = (WIDTH - 2 * MARGIN) / max(most - 1, 1)
    lines = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
             f'height="{HEIGHT}" font-family="sans-serif" font-size="11">']
    for tenth in range(0, 11, 2):
        y = HEIGHT - MARGIN - tenth / 10 * (HEIGHT - 2 * MARGIN)
        lines.append(f'<text x="8" y="{y:.0f}">{tenth / 10}</text>'
                     f'<line x1="{MARGIN}" x2="{WIDTH - MARGIN}" y1="{y:.0f}" '
                     f'y2="{y:.0f}" stroke="#ddd"/>')
    for number, (site, values) in enumerate(sorted(by_site.items())):
        color = COLORS[number % len(COLORS)]
        points = " ".join(
            f"{MARGIN + i * step:.0f},"
            f"{HEIGHT - MARGIN - value * (HEIGHT - 2 * MARGIN):.0f}"
            for i, value in enumerate(values))
        lines.append(f'<polyline points="{points}" fill="none" '
                     f'stroke="{color}" stroke-width="2"/>'
                     f'<text x="{MARGIN + number * 165}" y="16" '
                     f'fill="{color}">{site}</text>')
    lines.append("</svg>")
    (FIGURES / "worth.svg").write_text("\n".join(lines) + "\n")


def main():
    entries = list(scores())
    write_table(entries)
    write_plot(entries)
    print(f"{len(entries)} scores")


if __name__ == "__main__":
    main()
