import { CoreHarness } from '../../../test/CoreHarness.js';
import { createReplica, createRequest, createService } from '../../../test/fixtures.js';
import { AttemptEnd } from '../messages.js';
import type { PlacementEffect } from '../messages.js';

const DAEMONS = ['d-0', 'd-1', 'd-2'];

const SLOTS = 2;

const REPLICAS = ['i-0', 'i-1', 'i-2', 'i-3'].map((id) => createReplica(id, { slots: SLOTS }));

const THRESHOLD = 4;

/** Callers of each daemon; together they ask for three times what the replicas run at once. */
const CALLERS = 8;

/** Durations in milliseconds. */
const STEP = 2;
const WORK = 80;
const PAUSE = 20;
const HEAD_START = 2_000;
const OBSERVED = 10_000;

/** Least share of its requests that a daemon serves, compared with the one that serves most. */
const LEAST_RATE = 2 / 3;

interface Counts {
  served: number;
  rejected: number;
}

/** Daemons in front of fragile replicas, each with callers that send one request after the other. */
class FragileWorld {
  private readonly members = DAEMONS.map(() => new CoreHarness([createService('app')], REPLICAS));

  private readonly handled = DAEMONS.map(() => 0);

  private readonly idleCallers = DAEMONS.map(() => 0);

  private submitted = 0;

  counts: Counts[] = [];

  constructor() {
    this.resetCounts();
    this.members.forEach(({ core }, index) => {
      core.handle({ kind: 'fleet', self: DAEMONS[index]!, daemons: DAEMONS });
      core.handle({ kind: 'daemons', count: DAEMONS.length });
      const replicas = REPLICAS.map(({ id }) => ({ replica: id, threshold: THRESHOLD, age: 0 }));
      core.handle({ kind: 'peer-update', peer: 'd-x', update: { kind: 'fragile', replicas } });
    });
  }

  resetCounts(): void {
    this.counts = DAEMONS.map(() => ({ served: 0, rejected: 0 }));
  }

  startCallers(daemon: number): void {
    this.idleCallers[daemon] = CALLERS;
  }

  run(duration: number): void {
    for (let elapsed = 0; elapsed < duration; elapsed += STEP) {
      this.members.forEach((_member, daemon) => this.submitAll(daemon));
      this.members.forEach((member, daemon) => this.handleEffects(member, daemon));
      this.members.forEach(({ clock }) => clock.advance(STEP));
    }
  }

  getServedShares(): number[] {
    return this.counts.map(({ served, rejected }) => served / (served + rejected));
  }

  private submitAll(daemon: number): void {
    while (this.idleCallers[daemon]! > 0) {
      this.idleCallers[daemon]! -= 1;
      const id = `r-${this.submitted}`;
      this.submitted += 1;
      const request = createRequest(id, { maxAttempts: 1, latencyTarget: 4_000, deadline: 4_000 });
      this.members[daemon]!.submit(request);
    }
  }

  private handleEffects({ effects }: CoreHarness, daemon: number): void {
    const from = this.handled[daemon]!;
    this.handled[daemon] = effects.length;
    effects.slice(from).forEach((effect) => this.handleEffect(effect, daemon));
  }

  private handleEffect(effect: PlacementEffect, daemon: number): void {
    const member = this.members[daemon]!;
    switch (effect.kind) {
      case 'send':
        member.clock.setTimer(WORK, () => {
          const threshold = { kind: 'count' as const, count: THRESHOLD };
          const sentAt = member.clock.now() - WORK;
          member.core.handle({ kind: 'threshold', replica: effect.replica.id, sentAt, threshold });
          member.end(effect.id, effect.attempt, AttemptEnd.Completed);
        });
        break;
      case 'settle':
        this.finish(daemon, 'served');
        break;
      case 'give-up':
        this.finish(daemon, 'rejected');
        break;
      case 'share':
        this.members
          .filter((_member, index) => index !== daemon)
          .filter((_member, index, others) => {
            const name = DAEMONS[this.members.indexOf(others[index]!)];
            return effect.to === undefined || effect.to === name;
          })
          .forEach(({ clock, core }) =>
            clock.setTimer(STEP, () =>
              core.handle({ kind: 'peer-update', peer: DAEMONS[daemon]!, update: effect.update }),
            ),
          );
        break;
      default:
    }
  }

  private finish(daemon: number, result: keyof Counts): void {
    this.counts[daemon]![result] += 1;
    this.members[daemon]!.clock.setTimer(PAUSE, () => {
      this.idleCallers[daemon]! += 1;
    });
  }
}

describe('daemons that share the slots of fragile replicas', () => {
  // Guards against callers that are rejected because their daemon came later than others.
  it.each([0, 1, 2])(
    'serve their callers alike, also if daemon %d has taken all slots',
    (first) => {
      const world = new FragileWorld();
      world.startCallers(first);
      world.run(HEAD_START);
      DAEMONS.forEach((_daemon, index) => {
        if (index !== first) {
          world.startCallers(index);
        }
      });
      world.run(HEAD_START);
      world.resetCounts();
      world.run(OBSERVED);
      const shares = world.getServedShares();
      expect(Math.min(...shares)).toBeGreaterThanOrEqual(LEAST_RATE * Math.max(...shares));
      const served = world.counts.reduce((sum, counts) => sum + counts.served, 0);
      const capacity = (REPLICAS.length * SLOTS * OBSERVED) / WORK;
      expect(served).toBeGreaterThan(0.8 * capacity);
    },
  );
});
