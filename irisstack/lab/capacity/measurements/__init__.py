"""The measurements that one machine can make, by name."""

from irisstack.lab.capacity.measurements import module_memory, module_time, node_list, node_load
from irisstack.lab.capacity.measurements.measurement import Measurement

MEASUREMENTS: dict[str, Measurement] = {
    measurement.name: measurement
    for measurement in (
        *module_memory.MEASUREMENTS,
        *module_time.MEASUREMENTS,
        *node_list.MEASUREMENTS,
        *node_load.MEASUREMENTS,
    )
}
