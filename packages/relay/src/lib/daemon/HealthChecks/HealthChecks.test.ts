import { ManualClock } from '@apricotrill/utils';
import { createReplica } from '../../../test/fixtures.js';
import type { RelayService } from '../../config/RelayConfiguration.js';
import type { PlacementMessage } from '../../decide/messages.js';
import type { RelayEvent } from '../../observe/RelayEvent.js';
import { HealthChecks, healthOptions } from './HealthChecks.js';

/** Lets promises settle that are already resolved. */
function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** A step that can be made to fail once. */
enum Step {
  Limit = 'the limit of checks',
  Source = 'the source',
  Dispatch = 'the placement',
}

describe('HealthChecks', () => {
  const replica = createReplica('e-1');
  let clock: ManualClock;
  let events: RelayEvent[];
  let messages: PlacementMessage[];
  let calls: Step[];
  let failing: Step | undefined;
  let checks: HealthChecks;

  function call(step: Step): true {
    calls.push(step);
    if (failing === step) {
      failing = undefined;
      throw new Error('provoked error');
    }
    return true;
  }

  beforeEach(() => {
    clock = new ManualClock();
    events = [];
    messages = [];
    calls = [];
    failing = undefined;
    checks = new HealthChecks({
      clock,
      log: (event) => events.push(event),
      source: {
        check: () => Promise.resolve().then(() => call(Step.Source)),
        isAlive: () => Promise.resolve(true),
      },
      dispatch: (message) => {
        call(Step.Dispatch);
        messages.push(message);
      },
      tryAcquireCheck: () => call(Step.Limit),
    });
    checks.setServices([{ name: replica.service, healthPath: '/health' } as RelayService]);
    checks.start(replica);
  });

  /** Runs the next check and the one after it. */
  async function runTwoChecks(): Promise<void> {
    clock.advance(healthOptions.initialDelay);
    await settle();
    clock.advance(healthOptions.maxDelay);
    await settle();
  }

  // Guards against a replica that is never checked again after an error in a check.
  it.each(Object.values(Step))('checks a replica again after an error of %s', async (step) => {
    failing = step;
    await runTwoChecks();
    expect(messages).toEqual([{ kind: 'health', replica: 'e-1', isHealthy: true }]);
    expect(events).toEqual([
      {
        event: 'fault',
        step: 'check a replica',
        error: expect.stringMatching(/provoked.*\n\s+at /),
      },
    ]);
  });

  it('does not check a replica again whose checks were cancelled before the error', async () => {
    failing = Step.Source;
    clock.advance(healthOptions.initialDelay);
    checks.dispose();
    await settle();
    clock.advance(healthOptions.maxDelay);
    await settle();
    expect(calls).toEqual([Step.Limit, Step.Source]);
  });
});
