/** One line of a daemon's metrics. */
export interface MetricReading {
  name: string;
  labels: Record<string, string>;
  value: number;
}

const LINE = /^([a-zA-Z_:][\w:]*)(?:\{(.*)\})? (\S+)$/;

const LABEL = /(\w+)="((?:[^"\\]|\\.)*)"/g;

/**
 * Reads the text form of metrics, as far as our daemons write it: no timestamps.
 *
 * @example
 * ```ts
 * const bytes = sumMetric(parseMetrics(text), 'apricotrill_mesh_bytes_total');
 * ```
 * @internal
 */
export function parseMetrics(text: string): MetricReading[] {
  return text.split('\n').flatMap((line) => {
    const match = LINE.exec(line);
    if (match === null) {
      return [];
    }
    const [, name, labelText = '', value] = match;
    const labels = Object.fromEntries(
      [...labelText.matchAll(LABEL)].map(([, label, content]) => [label!, content!]),
    );
    return [{ name: name!, labels, value: Number(value) }];
  });
}

/**
 * The sum of a metric over all its labels.
 *
 * @internal
 */
export function sumMetric(readings: readonly MetricReading[], name: string): number {
  return readings
    .filter((reading) => reading.name === name)
    .reduce((sum, { value }) => sum + value, 0);
}

/**
 * A metric by the values of one of its labels.
 *
 * @internal
 */
export function groupMetric(
  readings: readonly MetricReading[],
  name: string,
  label: string,
): Record<string, number> {
  const groups: Record<string, number> = {};
  readings
    .filter((reading) => reading.name === name)
    .forEach(({ labels, value }) => {
      const group = labels[label] ?? '';
      groups[group] = (groups[group] ?? 0) + value;
    });
  return groups;
}
