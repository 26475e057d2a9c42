import pendulum
from airflow.models import DAG
from airflow.models.baseoperator import chain, cross_downstream
from airflow.operators.bash import BashOperator as Bash
from airflow.utils.task_group import TaskGroup

BLOCKS = ["north", "south"]
STAGES = {"press": 3, "rest": 1}

with DAG(
    dag_id="pressing",
    start_date=pendulum.datetime(2027, 9, 1, 6, tz="Europe/Lisbon"),
    schedule=pendulum.duration(hours=6),
    params={"vat": 7},
) as dag:
    begin = Bash(task_id="begin", bash_command="begin")
    with TaskGroup("blocks") as blocks:
        for i, block in enumerate(BLOCKS):
            read = Bash(task_id=f"read_{block}", bash_command="read " + block)
            with TaskGroup(group_id=f"inner_{i}"):
                done = Bash(task_id="store", bash_command="store")
            read >> done
    stages = [Bash(task_id=f"{name}_{n}", bash_command=name) for name, n in STAGES.items() if n < 10]
    end = Bash(task_id="end", bash_command="end")
    begin >> blocks
    chain(blocks, stages, end)
    a, b = (Bash(task_id=t, bash_command=t) for t in ["a", "b"])
    cross_downstream([a, b], [begin])
