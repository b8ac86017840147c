import { CoreHarness } from '../../../test/CoreHarness.js';
import {
  createEngineService,
  createEngines,
  createPrompt,
  createRequest,
} from '../../../test/fixtures.js';
import type { LoadReport } from '../messages.js';

const LOAD: LoadReport = { running: 1, waiting: 0, slots: 8 };

/** One of two daemons with the same engines. */
function createDaemon(name: string): CoreHarness {
  const harness = new CoreHarness([createEngineService('llm')], createEngines(2));
  harness.core.handle({ kind: 'fleet', self: name, daemons: ['d-1', 'd-2'] });
  return harness;
}

/** Sends a request, whose response begins with a load report. @returns the engine */
function serve(harness: CoreHarness, report: LoadReport): string {
  const prompt = createPrompt([['p', 3_000]]);
  harness.submit(createRequest('r', { service: 'llm', prompt, deadline: 5_000 }));
  const replica = harness.getAttemptedReplicas('r')[0]!;
  harness.clock.advance(100);
  harness.core.handle({ kind: 'load', replica, report });
  harness.core.handle({ kind: 'first-byte-received', id: 'r', attempt: 1 });
  return replica;
}

describe('slowdowns that replicas state', () => {
  // Guards against placers that know of a spell only if one of their own callers has met it.
  it('are told to other daemons with the first byte', () => {
    const sender = createDaemon('d-1');
    const receiver = createDaemon('d-2');
    const replica = serve(sender, { ...LOAD, slowdown: 2.5 });
    receiver.clock.advance(100);
    sender
      .getEffects('share')
      .forEach(({ update }) => receiver.core.handle({ kind: 'peer-update', peer: 'd-1', update }));
    const state = receiver.core.registry.findReplica(replica)!;
    expect(state.getSlowdown(100)).toBe(2.5);
    expect(state.lastReport?.report).toEqual({ ...LOAD, slowdown: 2.5 });
  });

  // Guards against longer messages in fleets whose replicas state no slowdown.
  it('are the only reason to tell loads', () => {
    const sender = createDaemon('d-1');
    serve(sender, LOAD);
    const updates = sender.getEffects('share').map(({ update }) => update);
    const [update] = updates.filter(({ kind }) => kind === 'first-byte-received');
    expect(Object.keys(update!)).toEqual(['kind', 'key']);
  });
});
