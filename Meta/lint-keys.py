#!/usr/bin/env python3
"""Prints a line "KEY FILE" for each source file given.

The key changes with the file, with any header of this repository that it
includes directly or through others, and with the linter's settings, so that
the linter reads again only what may have changed.
"""
import functools
import hashlib
import pathlib
import re
import sys

INCLUDE = re.compile(r'^#include [<"]([^>"]+)[>"]', re.MULTILINE)
ROOTS = [pathlib.Path(name) for name in (".", "Libraries", "Tests",
                                         "Benchmarks")]


def resolve(name):
    for root in ROOTS:
        if (root / name).is_file():
            return root / name
    return None


@functools.lru_cache(maxsize=None)
def read(path):
    return path.read_bytes()


@functools.lru_cache(maxsize=None)
def includes(path):
    names = INCLUDE.findall(read(path).decode())
    return [found for found in map(resolve, names) if found]


def closure(path):
    seen, waiting = {path}, [path]
    while waiting:
        for found in includes(waiting.pop()):
            if found not in seen:
                seen.add(found)
                waiting.append(found)
    return sorted(seen)


settings = read(pathlib.Path(".clang-tidy"))
for name in sys.argv[1:]:
    key = hashlib.sha256(settings)
    for path in closure(pathlib.Path(name)):
        key.update(str(path).encode() + read(path))
    print(key.hexdigest()[:32], name)
