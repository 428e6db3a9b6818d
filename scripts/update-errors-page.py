#!/usr/bin/env python3
"""Rewrites the table of docs/ERRORS.md from src/base/resultcode.cpp."""
import pathlib
import re

root = pathlib.Path(__file__).resolve().parent.parent
header = (root / "include/celeryroute/resultcode.h").read_text()
source = (root / "src/base/resultcode.cpp").read_text()
numbers = dict(re.findall(r"^    (\w+) = (\d+),", header, re.M))
text = r'"((?:[^"\\]|\\.)*)"'
row = re.compile(r"\{ResultCode::(\w+),\s*" + text + r",\s*(\d+),\s*" + text + r",\s*" + text + r"\}")
lines = ["| number | name | HTTP | meaning | example |", "|---|---|---|---|---|"]
for code, name, status, meaning, example in row.findall(source):
    shown = "" if status == "0" else status
    plain = [part.replace('\\"', '"').replace("\\\\", "\\") for part in (meaning, example)]
    lines.append(f"| {numbers[code]} | {name} | {shown} | {plain[0]} | {plain[1]} |")
page = root / "docs/ERRORS.md"
intro = page.read_text().split("| number |")[0] if page.exists() else "# Result codes\n\n"
page.write_text(intro + "\n".join(lines) + "\n")
