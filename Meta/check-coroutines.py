#!/usr/bin/env python3
"""Finds closures and braced aggregates made inside a co_await expression.

g++ 12 destroys such temporaries twice. They are named before the expression
instead, and moved into it.
"""
import pathlib
import re
import sys

CLOSURE = re.compile(r"\bco_await\b[^;{}]*?[(,]\s*\[[^\]]*\]\s*[({]")
AGGREGATE = re.compile(r"\bco_await\b[^;{}]*?[(,]\s*\w*\{\s*\.")

found = False
for name in sys.argv[1:]:
    text = pathlib.Path(name).read_text()
    for pattern in (CLOSURE, AGGREGATE):
        for match in pattern.finditer(text):
            line = text.count("\n", 0, match.start()) + 1
            print(f"{name}:{line}: temporary inside a co_await expression")
            found = True
sys.exit(1 if found else 0)
