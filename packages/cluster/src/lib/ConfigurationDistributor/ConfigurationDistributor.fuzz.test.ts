import { createRandom, ManualClock } from '@apricotrill/utils';
import fc from 'fast-check';
import { createManifest } from '../../bench/createManifest.js';
import { createClusterCounters } from '../ClusterCounters.js';
import { defaultClusterOptions } from '../clusterOptions.js';
import type { CoreEffect } from '../coreMessages.js';
import type { PeerResponse, PeerRequest } from '../messages.js';
import { PeerCalls } from '../PeerCalls/PeerCalls.js';
import { ConfigurationDistributor } from './ConfigurationDistributor.js';

const GENERATIONS = 4;

const WORKSPACES = 600;

/** Manifests and parts by generation. */
const acceptedManifests = Array.from({ length: GENERATIONS + 1 }, (_, generation) =>
  createManifest(generation, WORKSPACES),
);

/** The texts of all parts by hash. */
const textsByHash = new Map(
  acceptedManifests.flatMap(({ parts }) => parts.map(({ hash, text }) => [hash, text])),
);

/** What happens to a message or response. */
type MessageFate = 'whole' | 'lost' | 'wrong-text' | 'no-parts';

/** Distributors of several daemons whose messages the scheduler delivers in any order. */
class DistributorWorld {
  readonly distributors: ConfigurationDistributor[] = [];

  readonly activatedGenerations: number[][] = [];

  private readonly calls: PeerCalls[] = [];

  private readonly clock = new ManualClock();

  constructor(
    private readonly scheduler: fc.Scheduler,
    private readonly takeMessageFate: () => MessageFate,
    size: number,
  ) {
    for (let index = 0; index < size; index += 1) {
      this.add(index);
    }
  }

  /** Lets every daemon announce its generation to all, without faults, until nothing changes. */
  async settle(): Promise<void> {
    for (let round = 0; round < 3; round += 1) {
      this.clock.advance(10_000);
      this.distributors.forEach((_, index) => this.announceToAll(index));
      // eslint-disable-next-line no-await-in-loop -- rounds run one after the other
      await this.scheduler.waitIdle();
    }
  }

  announceToAll(from: number): void {
    const generation = this.distributors[from]!.getGeneration();
    this.distributors.forEach((distributor) =>
      distributor.handleGeneration(generation, String(from)),
    );
  }

  private add(index: number): void {
    const emit = (effect: CoreEffect) => this.runEffect(index, effect);
    const calls = new PeerCalls(emit);
    const context = {
      clock: this.clock,
      random: createRandom(index + 1),
      options: { ...defaultClusterOptions, maxPartPageBytes: 9000 },
      counters: createClusterCounters(),
      emit,
    };
    const pushGeneration = () => this.schedule('generation', () => this.announceToAll(index));
    this.calls.push(calls);
    this.activatedGenerations.push([]);
    this.distributors.push(new ConfigurationDistributor({ context, calls, pushGeneration }));
  }

  private runEffect(index: number, effect: CoreEffect): void {
    if (effect.kind === 'call') {
      this.schedule(`${effect.request.kind} from ${index}`, () => this.respond(index, effect));
    } else if (effect.kind === 'read-parts') {
      this.schedule(`store parts for ${index}`, () => {
        const found = this.takeMessageFate() === 'lost' ? [] : effect.hashes;
        const parts = new Map(found.map((hash) => [hash, textsByHash.get(hash)!]));
        this.distributors[index]!.handleStoreParts(effect.readId, parts);
      });
    } else if (effect.kind === 'configuration') {
      this.activatedGenerations[index]!.push(effect.snapshot.manifest.generation);
    }
  }

  private respond(
    index: number,
    { callId, address, request }: CoreEffect & { kind: 'call' },
  ): void {
    const fate = this.takeMessageFate();
    const response =
      fate === 'lost' ? undefined : this.createResponse(Number(address), request, fate);
    this.schedule(`response to ${index}`, () => this.calls[index]!.settle(callId, response));
  }

  private createResponse(peer: number, request: PeerRequest, fate: MessageFate): PeerResponse {
    const distributor = this.distributors[peer]!;
    const response =
      request.kind === 'fetch-parts'
        ? distributor.createPartsResponse(request.hashes)
        : distributor.createManifestResponse(request.generation);
    if (!('parts' in response) || fate === 'whole') {
      return response;
    }
    const wrongTexts = [...response.parts.keys()].map(
      (hash) => [hash, '{"list":"services"}'] as const,
    );
    return { ...response, parts: new Map(fate === 'wrong-text' ? wrongTexts : []) };
  }

  private schedule(label: string, run: () => void): void {
    // eslint-disable-next-line no-void -- the scheduler decides when it runs
    void this.scheduler.schedule(Promise.resolve(), label).then(run);
  }
}

const SEED = 11;

const fates = fc.infiniteStream(
  fc.constantFrom<MessageFate[]>('whole', 'whole', 'whole', 'lost', 'wrong-text', 'no-parts'),
);

describe('ConfigurationDistributor with messages in any order', () => {
  it('never reverts, accepts no wrong text, and ends with the highest generation everywhere', async () => {
    // Guards against a daemon that reverts to an old generation, or holds one with other content,
    // because it takes the response to an old request for that to a newer one: manifests and parts
    // of several generations arrive late, out of order, twice or corrupted.
    await fc.assert(
      fc.asyncProperty(
        fc.scheduler(),
        fates,
        fc.array(fc.record({ at: fc.nat({ max: 3 }), generation: fc.integer({ min: 1, max: 4 }) })),
        async (scheduler, stream, arrivals) => {
          let hasFaults = true;
          const takeFate = () => (hasFaults ? stream.next().value! : 'whole');
          const world = new DistributorWorld(scheduler, takeFate, 4);
          arrivals.forEach(({ at, generation }) => {
            const arrive = () =>
              world.distributors[at]!.handleStoreManifest(acceptedManifests[generation]!.manifest);
            // eslint-disable-next-line no-void -- the scheduler decides when it runs
            void scheduler.schedule(Promise.resolve(), `${generation} at ${at}`).then(arrive);
          });
          await scheduler.waitIdle();
          hasFaults = false;
          const highest = Math.max(0, ...arrivals.map(({ generation }) => generation));
          world.distributors[0]!.handleStoreManifest(acceptedManifests[highest]!.manifest);
          await scheduler.waitIdle();
          await world.settle();
          world.distributors.forEach((distributor, index) => {
            const generations = world.activatedGenerations[index]!;
            expect(generations).toEqual([...new Set(generations)].sort());
            expect(distributor.getGeneration()).toBe(highest);
            const snapshot = distributor.activeConfiguration.get();
            snapshot?.parts.forEach((text, hash) => expect(text).toBe(textsByHash.get(hash)));
          });
        },
      ),
      { seed: SEED, numRuns: Number(process.env.APRICOTRILL_FUZZ_RUNS ?? 50) },
    );
  }, 600_000);
});
