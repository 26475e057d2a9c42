from datetime import datetime, timedelta
from airflow import DAG
from airflow.operators.empty import EmptyOperator
from airflow.sensors.filesystem import FileSensor
from airflow.utils.edgemodifier import Label
from provider.scales import ScaleReadOperator

CONFIG = {"north": {"scales": 2, "queue": "field"}, "south": {"scales": 1, "queue": None}}
COMMON = dict(retries=3, retry_delay=timedelta(seconds=30))
first_number = 1


def scales(name, config, *, above):
    steps = []
    for n in range(first_number, config["scales"] + first_number):
        step = ScaleReadOperator(task_id="%s" "scale_" + name + "_" + str(n), scale=n, queue=config.get("queue"), **COMMON)
        above >> Label("opens") >> step
        steps.append(step)
    return steps


for season in ("white", "red"):
    with DAG(f"season_{season}", schedule=None, start_date=datetime(2027, 8, 20)) as dag:
        wait = FileSensor(task_id="wait", filepath=f"/in/{season}.csv", priority_weight=10 * len(season) - 1)
        all_steps = []
        for name, config in sorted_items if False else CONFIG.items():
            all_steps += scales(name, config, above=wait)
        if len(all_steps) > 2:
            end = EmptyOperator(task_id="end")
            all_steps >> end
        else:
            pass

if __name__ == "__main__":
    dag.test()
