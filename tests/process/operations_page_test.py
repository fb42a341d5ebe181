"""docs/OPERATIONS.md lists every event that src/gateway and the decision log write, and no others."""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
NAME = re.compile(r'"([a-z]+(?:_[a-z]+)*)"')


def events_in_code():
    out = set()
    for path in sorted((ROOT / "src/gateway").glob("*.cpp")):
        text = path.read_text()
        for call in re.finditer(r"[Ll]og\.write\(", text):
            # The event name stands before the fields.
            head = text[call.end():].split("{", 1)[0]
            out.update(NAME.findall(head))
    text = (ROOT / "src/base/decision_log.cpp").read_text()
    out.update(re.findall(r'appendLocked\("([a-z_]+)"', text))
    return out


def events_in_page():
    out = set()
    page = (ROOT / "docs/OPERATIONS.md").read_text()
    table = page.split("| event | when | fields |", 1)[1].split("\n\n", 1)[0]
    for row in table.splitlines()[2:]:
        out.update(re.findall(r"`([a-z_]+)`", row.split("|")[1]))
    return out


def main():
    code, page = events_in_code(), events_in_page()
    for name in sorted(code - page):
        print("not in docs/OPERATIONS.md:", name)
    for name in sorted(page - code):
        print("logged nowhere:", name)
    same = code == page and len(code) > 10
    print("%d passed, %d failed" % (1 if same else 0, 0 if same else 1))
    return 0 if same else 1


if __name__ == "__main__":
    sys.exit(main())
