"""Agreement of the package with requirements.txt and the deploy file."""

import tomllib
from pathlib import Path

from shallotpath.fleet._member import METRICS_PATH
from shallotpath.platform import METRICS_PORT_VARIABLE

ROOT = Path(__file__).parents[3]


def test_requirements_of_the_platform_agree_with_the_package():
    # Guards against other dependency versions on the platform than those tested by CI.
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    requirements = (ROOT / "requirements.txt").read_text().split()
    assert sorted(requirements) == sorted(project["dependencies"])


def test_deploy_file_names_programs_that_exist():
    # Guards against roles that do not start after a module was moved or renamed.
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    for role in deploy["roles"].values():
        module = role["run"].split()[-1]
        assert (ROOT / (module.replace(".", "/") + ".py")).is_file()


def test_metrics_are_served_at_the_port_that_the_deploy_file_names():
    # Guards against a platform that scrapes another port or path than is served.
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    for role in deploy["roles"].values():
        port, path = role["metrics"].split("/")
        assert role["env"][METRICS_PORT_VARIABLE] == port
        assert "/" + path == METRICS_PATH
