import type { PlacementEffect } from '../decide/messages.js';
import type { RelayEvent } from '../observe/RelayEvent.js';
import { createReplica } from '../../test/fixtures.js';
import { EffectPerformer } from './EffectPerformer.js';
import type { EffectPerformerParts } from './EffectPerformer.js';

const EFFECTS = [
  { kind: 'send', id: 'c-1', attempt: 1 },
  { kind: 'cancel', id: 'c-1', attempt: 1 },
  { kind: 'give-up', id: 'c-1' },
  { kind: 'settle', id: 'c-1', attempt: 1 },
] as unknown as PlacementEffect[];

function createThrowingTask() {
  const failures: string[] = [];
  const fault = () => {
    throw new Error('broken');
  };
  return {
    failures,
    send: fault,
    cancel: fault,
    giveUp: fault,
    complete: fault,
    fail: (step: string) => failures.push(step),
  };
}

describe('EffectPerformer', () => {
  let lines: RelayEvent[];

  beforeEach(() => {
    lines = [];
  });

  function createPerformer(parts: Partial<Record<keyof EffectPerformerParts, unknown>>) {
    const log = (line: RelayEvent) => lines.push(line);
    return new EffectPerformer({ log, ...parts } as unknown as EffectPerformerParts);
  }

  // Guards against an error of one request that ends the process or leaves its caller waiting.
  it.each(EFFECTS)('ends only the request whose effect throws: $kind', (effect) => {
    const task = createThrowingTask();
    const performer = createPerformer({ intake: { getTask: () => task } });
    performer.perform(effect);
    expect(task.failures).toEqual([`perform ${effect.kind}`]);
  });

  it('logs an effect without a request that throws', () => {
    const performer = createPerformer({ healthChecks: {}, connections: {} });
    performer.perform({
      kind: 'check-liveness',
      replica: createReplica('i-1'),
    });
    expect(lines.at(-1)).toMatchObject({ event: 'fault', step: 'perform check-liveness' });
  });
});
