"""Prints a table of the latest full score of each site in a journal, with the change since the one before.

Usage: regressiontable.py JOURNAL SITE...
"""

import json
import pathlib
import sys

TROUBLED_DAYS = ("trouble", "scale")


def full_scores(journal, site):
    """The entries of full scores of a site, oldest first."""
    entries = []
    for path in sorted(pathlib.Path(journal).glob("*.json")):
        entry = json.loads(path.read_text())
        if entry.get("cmd") == "score" and entry.get("site") == site and entry.get("mode") != "quick" and entry.get("days"):
            entries.append(entry)
    return entries


def mean_worth(entry):
    """Mean worth of the standard days with trouble."""
    worths = [day["G"] for day in entry["days"] if day["name"].startswith(TROUBLED_DAYS)]
    return sum(worths) / len(worths) if worths else 0.0


def row(site, entries):
    latest = entries[-1]
    gate = "passed" if latest["figures"].get("gate") == 1.0 else "failed"
    cells = [site, f"{latest['score']:.3f}", f"{mean_worth(latest):.3f}", gate]
    change = "none before" if len(entries) < 2 else f"{mean_worth(latest) - mean_worth(entries[-2]):+.3f}"
    return "| " + " | ".join(cells + [change]) + " |"


def main(journal, sites):
    print("| site | score | mean worth with trouble | gate | change of that worth |")
    print("|---|---|---|---|---|")
    for site in sites:
        entries = full_scores(journal, site)
        print(row(site, entries) if entries else f"| {site} | not run | | | |")


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2:])
