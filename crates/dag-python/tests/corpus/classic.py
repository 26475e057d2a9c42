"""A weighing feeds the intake sheet."""
from datetime import datetime, timedelta

from airflow import DAG
from airflow.operators.bash import BashOperator
from airflow.operators.python import PythonOperator
from airflow.operators.empty import EmptyOperator
from airflow.utils.trigger_rule import TriggerRule

default_args = {
    "owner": "campo",
    "retries": 2,
    "retry_delay": timedelta(minutes=5),
    "email_on_failure": False,
}


def settle(block):
    raise ValueError(block)


dag = DAG(
    "intake",
    default_args=default_args,
    description="weighings to sheets",
    schedule_interval="30 4 * * 1-5",
    start_date=datetime(2027, 9, 1),
    catchup=False,
    max_active_runs=1,
    tags=["harvest"],
)

weigh = BashOperator(task_id="weigh", bash_command="weigh {{ ds }}", dag=dag)
check = PythonOperator(task_id="check", python_callable=settle, op_kwargs={"block": "north"}, dag=dag, retries=0)
sheet = BashOperator(
    task_id="sheet", bash_command="sheet", dag=dag,
    execution_timeout=timedelta(hours=1, minutes=30),
    executor_config={"snowshelf": {"cpus": 8, "image": "sheet"}},
)
tell = EmptyOperator(task_id="tell", trigger_rule=TriggerRule.ALL_DONE, dag=dag)

weigh >> [check, sheet] >> tell
tell.set_upstream(weigh)
