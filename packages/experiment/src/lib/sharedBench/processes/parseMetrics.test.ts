import { groupMetric, parseMetrics, sumMetric } from './parseMetrics.js';

const TEXT = `# HELP mesh_bytes_total Bytes.
# TYPE mesh_bytes_total counter
mesh_bytes_total{direction="in",topic="claim"} 10
mesh_bytes_total{direction="out",topic="claim"} 20
mesh_bytes_total{direction="out",topic="membership"} 4.5

open_watches 1
`;

describe('parseMetrics', () => {
  it('reads names, labels and values', () => {
    const readings = parseMetrics(TEXT);
    expect(readings).toHaveLength(4);
    expect(readings[0]).toEqual({
      name: 'mesh_bytes_total',
      labels: { direction: 'in', topic: 'claim' },
      value: 10,
    });
    expect(readings[3]).toEqual({ name: 'open_watches', labels: {}, value: 1 });
  });

  it('sums and groups', () => {
    const readings = parseMetrics(TEXT);
    expect(sumMetric(readings, 'mesh_bytes_total')).toBe(34.5);
    expect(sumMetric(readings, 'no_such_metric')).toBe(0);
    expect(groupMetric(readings, 'mesh_bytes_total', 'topic')).toEqual({
      claim: 30,
      membership: 4.5,
    });
  });
});
