#!/usr/bin/env python3
"""Finds calls whose result depends on the order of their arguments.

g++ evaluates the arguments of a call from left to right on arm64 and from right
to left on x86-64. A value that is moved from in one argument must not be used in
another one, and two arguments must not both draw from a random source. What
takes an order of its own is named before the call, or stands in a braced list,
which has one.
"""
import pathlib
import re
import sys

COMMENT_OR_TEXT = re.compile(
    r'//[^\n]*|"(?:\\.|[^"\\\n])*"|\'(?:\\.|[^\'\\\n])\'')
CALL = re.compile(r"([\w>]+)\s*\(")
# These pass references on; a value is moved from when the last one is read.
FORWARDING = {"emplace", "try_emplace", "insert_or_assign"}
STATEMENTS = {"if", "for", "while", "switch", "return", "catch"}
MOVE = re.compile(r"std::move\(\s*(?:this->)?([\w.]+)\s*\)")
DRAW = re.compile(r"\*\s*rc::gen::|\w*Random\(\)|\(\s*(?:this->)?\w*Random\s*\)"
                  r"|\bthis->number\(")


def arguments(text, start):
    """Returns the arguments between the parenthesis at start and its end."""
    depth, begin, found = 0, start + 1, []
    for place in range(start, len(text)):
        character = text[place]
        if character in "([{":
            depth += 1
        elif character in ")]}":
            depth -= 1
            if depth == 0:
                return found + [text[begin:place]]
        elif character == "," and depth == 1:
            found.append(text[begin:place])
            begin = place + 1
    return []


def problem(name, found):
    if sum(1 for each in found if DRAW.search(each)) > 1:
        return "two arguments draw random values"
    if name in FORWARDING:
        return None
    for place, each in enumerate(found):
        others = found[:place] + found[place + 1:]
        for moved in MOVE.findall(each):
            use = re.compile(r"(?<![\w.])" + re.escape(moved) + r"\b")
            if any(use.search(other) for other in others):
                return f"{moved} is moved from and used in another argument"
    return None


failed = False
for path in sys.argv[1:]:
    text = COMMENT_OR_TEXT.sub(
        lambda match: re.sub(r"[^\n]", " ", match.group()),
        pathlib.Path(path).read_text())
    for call in CALL.finditer(text):
        if call.group(1) in STATEMENTS:
            continue
        cause = problem(call.group(1), arguments(text, call.end() - 1))
        if cause:
            line = text.count("\n", 0, call.start()) + 1
            print(f"{path}:{line}: {call.group(1)}: {cause}")
            failed = True
sys.exit(1 if failed else 0)
