"""The example settings pass --check. Each mistake is reported by its key, alone and together with the others."""

import pathlib
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from fleet import BUILD, ROOT, Fleet, check  # noqa: E402

PROGRAMS = {"entry.ini": "daisytack-entry", "agent.ini": "daisytack-agent", "portal-agent.ini": "daisytack-agent"}
MISTAKES = {
    "instance.region": ("region = riga", "regoin = riga"),
    "instance.work": ("work = 10.20.0.10:7100", "work = riga-entry:7100"),
    "process.threads": ("threads = 4", "threads = many"),
    "platform.instance_list": ("instance_list = 10.20.1.20:8080", ""),
    "peer_keys": ("example-2026 = replace-this-example-secret-before-use", ""),
}


def check_settings(path):
    program = PROGRAMS.get(path.name, "daisytack-entry")
    return subprocess.run([BUILD / program, f"--config={path}", "--check"], capture_output=True, text=True, timeout=60)


for deployment in ("riga", "dakar"):
    for name in PROGRAMS:
        result = check_settings(ROOT / "examples" / deployment / name)
        check(result.returncode == 0, f"{deployment}/{name}: {result.stdout}{result.stderr}")
        print(f"{deployment}/{name} ok")

with Fleet() as fleet:
    good = (ROOT / "examples/riga/entry.ini").read_text()
    broken = good
    for key, (before, after) in MISTAKES.items():
        check(before in good, f"{before} is no line of the example")
        broken = broken.replace(before, after)
        result = check_settings(pathlib.Path(fleet.write("broken.ini", good.replace(before, after))))
        check(result.returncode == 2, f"{key}: exit code {result.returncode}")
        check(key in result.stderr + result.stdout, f"{key} isn't named: {result.stderr}")
    together = check_settings(pathlib.Path(fleet.write("broken.ini", broken)))
    missing = [key for key in MISTAKES if key not in together.stderr + together.stdout]
    check(not missing, f"not reported together: {missing}: {together.stderr}")
    check("replace-this-example-secret" not in together.stderr + together.stdout, "a secret shows")
    print("mistakes are reported together")
