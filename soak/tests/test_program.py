from pathlib import Path

import shallotpath
from soak._program import Program
from soak._settings import SoakSettings

DIRECTORY = Path(shallotpath.__file__).resolve().parent.parent


def environment(program):
    """Return the environment variables of a running program."""
    data = Path(f"/proc/{program.process_.pid}/environ").read_bytes()
    return data.decode().split("\0")


async def test_programs_run_the_package_that_the_soak_imports(tmp_path):
    # Guards against a soak that runs an installed package instead of the one next to
    # it, so that a change or a fault of the latter goes unseen.
    program = Program(
        name="edge-0",
        host="127.0.0.1",
        domain="a-1",
        store_port=9,
        engine="",
        settings=SoakSettings(seed=0),
        workspace=tmp_path,
    )
    await program.start()
    try:
        variables = environment(program)
    finally:
        await program.kill()
    assert f"PYTHONPATH={DIRECTORY}" in variables
