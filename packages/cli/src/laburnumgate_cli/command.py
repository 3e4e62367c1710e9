"""The `laburnumgate` command for operators and callers."""

import click


@click.group()
def main() -> None:
    """Talks to the hosts of a laburnumgate installation."""


if __name__ == "__main__":
    main()
