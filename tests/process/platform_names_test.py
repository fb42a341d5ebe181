"""Names of the users' platform (headers, paths, settings) belong in platform/, not in src, include, tools or bench."""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
NAMES = re.compile(
    r"X-Daisytack-(Server-Signature|Not-Executed|Expected-|Token-Counts|Prompt-Prefix|Kv-|Cache-Salt|Hold|Pin"
    r"|Tenant|Deadline-Milli|Length-Hint|Weight-Versions)|Kv-From|kv-(txn|watch|range|lease|keep|events|list|free|move)"
    r"|traffic-split|api-keys|path-prefix|target-latency-ms|DAISYTACK_CONFIG.*boot", re.IGNORECASE)


def main():
    found = []
    for folder in ("src", "include", "tools", "bench"):
        for path in sorted((ROOT / folder).rglob("*")):
            if path.suffix not in (".h", ".cpp"):
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if NAMES.search(line):
                    found.append(f"{path.relative_to(ROOT)}:{number}: {line.strip()}")
    for line in found:
        print(line)
    print("%d passed, %d failed" % (0 if found else 1, 1 if found else 0))
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
