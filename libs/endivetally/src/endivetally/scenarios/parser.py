"""Parser of the scenario language, whose grammar is in ``grammar.lark``."""

from dataclasses import dataclass
from functools import cache
from importlib import resources
from typing import Final

from endivetally_core.errors import EndivetallyError
from lark import Lark
from lark.exceptions import LarkError
from lark.exceptions import VisitError

from endivetally.fleet.deployment import Deployment
from endivetally.scenarios.steps import Step
from endivetally.scenarios.transformer import ScenarioTransformer

GRAMMAR: Final = 'grammar.lark'


class ScenarioInvalid(EndivetallyError):
    """A text is not a valid scenario."""


@dataclass(frozen=True, slots=True)
class ScenarioLine:
    """A step and the number of its line in the file."""

    number: int
    step: Step


@dataclass(frozen=True, slots=True)
class Scenario:
    """A parsed scenario.

    :param promise: number of the promise under test; 0 for liveness.
    """

    name: str
    promise: int
    deployment: Deployment
    lines: tuple[ScenarioLine, ...]


def parse_scenario(text: str) -> Scenario:
    """Parse the text of a scenario.

    :raises ScenarioInvalid: when the text is not valid; the message names the line.
    """
    transformer = ScenarioTransformer()
    try:
        name, promise, deployment, *steps = transformer.transform(
            _parser().parse(f'{text}\n'),
        ).children
    except VisitError as error:
        raise ScenarioInvalid(str(error.orig_exc)) from error
    except LarkError as error:
        raise ScenarioInvalid(str(error)) from error
    lines = tuple(ScenarioLine(number, step) for number, step in steps)
    return Scenario(name, promise, deployment, lines)


@cache
def _parser() -> Lark:
    grammar = resources.files(__package__).joinpath(GRAMMAR).read_text()
    return Lark(grammar, parser='lalr', propagate_positions=True)
