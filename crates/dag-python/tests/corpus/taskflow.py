from __future__ import annotations

from datetime import datetime

from airflow.decorators import dag, task, task_group
from airflow.models.param import Param
from airflow.operators.bash import BashOperator


@dag(
    schedule="@daily",
    start_date=datetime(2027, 1, 1),
    catchup=True,
    params={"day": Param("today", type="string", enum=["today", "yesterday"]), "n": Param(3, type="integer", minimum=1)},
    default_args={"retries": 1},
)
def settlement(share: float = 0.5):
    """Settles the day's authorisations."""

    @task
    def read(day):
        return day

    @task(pool="cards", trigger_rule="none_failed")
    def settle(rows, share, extra=None):
        return rows

    @task.bash
    def tell(total):
        return "echo"

    @task_group(group_id="regions")
    def regions(rows):
        east = settle(rows, share)
        west = settle.override(task_id="west", retries=5)(rows, share, extra={"zone": "west"})
        return [east, west]

    rows = read("{{ ds }}")
    both = regions(rows)
    total = settle(rows["total"], 1)
    mapped = settle.partial(share=2).expand(rows=[1, 2, 3])
    pairs = BashOperator.partial(task_id="pairs", retries=0).expand_kwargs([{"bash_command": "a"}, {"bash_command": "b"}])
    both >> total >> tell(total)
    mapped >> pairs


settlement()
