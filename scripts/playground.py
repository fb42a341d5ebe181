"""Starts the deployment of scripts/playground and sets the environment variables of its commands."""

import os
import subprocess
import sys

from deployment import OPERATOR_KEY, Deployment, key_of
from fleet import BUILD, HOST, Fleet

ENGINE = ("--prefill_rate=20000", "--decode_rate=100")


def environment_of(deployment):
    """Returns the environment with the addresses and keys that the numbered examples use."""
    entries, agents = deployment.entries, deployment.agents
    return {
        **os.environ,
        "PATH": f"{BUILD}:{os.environ['PATH']}",
        "ENTRY": f"{HOST}:{entries[0].work}",
        "OTHER_ENTRY": f"{HOST}:{entries[1].work}",
        "OPERATORS": f"{HOST}:{entries[0].operators}",
        "OTHER_OPERATORS": f"{HOST}:{entries[1].operators}",
        "KEY": key_of("agora"),
        "OTHER_KEY": key_of("balta"),
        "OPERATOR_KEY": OPERATOR_KEY,
        "DAISYTACK_KEY": OPERATOR_KEY,
        "DAISYTACK_ENTRIES": f"{HOST}:{entries[0].operators},{HOST}:{entries[1].operators}",
        "KEY_VALUE": f"{HOST}:{deployment.kv}",
        "ENGINE": f"{HOST}:{agents[0].server}",
        "ENGINES": " ".join(f"{HOST}:{port}" for port in deployment.engines()),
        "SERVER": agents[0].name,
        "SETTINGS": str(deployment.fleet.directory / f"{entries[0].name}.ini"),
    }


def main():
    command = sys.argv[1:] or [os.environ.get("SHELL", "bash")]
    with Fleet() as fleet:
        deployment = Deployment(fleet, engine_flags=ENGINE).start()
        print("a deployment is up; its addresses and keys: env | grep -E 'ENTRY|OPERATORS|KEY|ENGINE'", flush=True)
        return subprocess.run(command, env=environment_of(deployment)).returncode


if __name__ == "__main__":
    sys.exit(main())
