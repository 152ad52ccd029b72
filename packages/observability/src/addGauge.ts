import { Gauge as PrometheusGauge } from 'prom-client';
import type { Registry } from 'prom-client';
import type { Gauge } from './types';

/** Registers a gauge whose values are read at each scrape. */
export default function addGauge(registry: Registry, definition: Gauge): void {
  const { name, help, labelNames, read } = definition;
  const gauge: PrometheusGauge = new PrometheusGauge({
    name,
    help,
    labelNames,
    registers: [registry],
    collect() {
      gauge.reset();
      read().forEach(({ labels, value }) => gauge.set(labels, value));
    },
  });
}
