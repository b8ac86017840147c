import { TestCluster } from '../../test/TestCluster.js';

describe('ClaimManager', () => {
  it('grants once, whichever daemon asks, and repeats the answer', async () => {
    const cluster = new TestCluster(4);
    await cluster.run(2000);
    const [a, b, c] = cluster.daemons;
    const first = await cluster.ask(a!, 'hold-1');
    expect(first.kind).toBe('granted');
    expect((await cluster.ask(b!, 'hold-1')).kind).toBe('in-progress');
    expect((await cluster.ask(c!, 'hold-1', 'other')).kind).toBe('mismatch');
  });
});
