#!/usr/bin/env python3
"""Writes sites unlike a given one, to be played like it.

Usage: variants.py SITE FOLDER

FOLDER gets a file for each variant, with the site's own table of messages
beside it. The site's text is changed by rules, so that nothing of it has to
be kept here.
"""

import re
import shutil
import sys
from pathlib import Path


def scale(text, name, factor, least=1):
    """Multiplies each figure of a name."""

    def times(match):
        old = match.group(2)
        new = float(old) * factor
        new = str(max(least, round(new))) if "." not in old else f"{new:g}"
        if "." in old and "." not in new:
            new += ".0"
        return match.group(1) + new

    return re.sub(rf"(\b{name} = )(\d+(?:\.\d+)?)", times, text)


def put(text, name, value):
    """Sets each figure of a name."""
    return re.sub(rf"(\b{name} = )[\w.\"]+", rf"\g<1>{value}", text)


def in_lines(text, mark, change):
    """Changes the lines that hold a mark."""
    lines = text.split("\n")
    return "\n".join(change(line) if mark in line else line for line in lines)


def hosts(text, count):
    return in_lines(text, 'class = "front", cpu_share', lambda line: re.sub(
        r"(?<!small)(, )count = \d+", rf"\g<1>count = {count}", line))


def targets(text, factor):
    return in_lines(text, "servers = [{", lambda line: scale(line, "count", factor))


def uneven_targets(text):
    """The first hall has most targets, the last one two."""

    def change(line):
        counts = iter((36, 10, 2))
        return re.sub(r"count = \d+", lambda m: f"count = {next(counts, 2)}", line)

    return in_lines(text, "servers = [{", change)



def traffic(text, factor):
    return in_lines(text, "mix = {", lambda line: re.sub(
        r"(\}, per_s = )([\d.]+)", lambda m: f"{m.group(1)}{float(m.group(2)) * factor:.1f}", line))


def work(text, factor):
    return in_lines(text, "work_ms = {", lambda line: re.sub(
        r"work_ms = \{ mean = (\d+), spread = ([\d.]+), max = (\d+) \}",
        lambda m: f"work_ms = {{ mean = {max(5, round(int(m.group(1)) * factor))}, spread = {m.group(2)},"
        f" max = {max(20, round(int(m.group(3)) * factor))} }}", line))


VARIANTS = {
    "one-host": lambda t: hosts(t, 1),
    "many-hosts": lambda t: hosts(t, 6),
    "few-targets": lambda t: traffic(targets(t, 0.4), 0.4),
    "uneven-targets": uneven_targets,
    "unguarded": lambda t: put(t, "guards", "false"),
    "far": lambda t: put(put(t, "cross_zone_ms", "6.0"), "client_ms", "12.0"),
    "small-tasks": lambda t: traffic(work(t, 0.3), 2.0),
    "large-tasks": lambda t: traffic(work(t, 2.0), 0.5),
    "double-load": lambda t: traffic(t, 2.0),
    "short-bounds": lambda t: put(put(put(t, "resend_ms", "900.0"), "grace_s", "3.0"), "hold_max_ms", "500.0"),
    "long-bounds": lambda t: put(put(t, "resend_ms", "2500.0"), "hold_max_ms", "2000.0"),
    "weak-hosts": lambda t: scale(t, "cpu_share", 0.5),
}


def main():
    site, folder = Path(sys.argv[1]), Path(sys.argv[2])
    folder.mkdir(parents=True, exist_ok=True)
    shutil.copyfile(site.parent / "wire.json", folder / "wire.json")
    text = site.read_text()
    for name, change in VARIANTS.items():
        new = change(text)
        assert new != text, f"{name} changes nothing"
        new = re.sub(r'^name = "([^"]+)"', rf'name = "\1-{name}"', new, count=1, flags=re.M)
        (folder / f"{site.stem}-{name}.toml").write_text(new)


if __name__ == "__main__":
    main()
