import { createRandom, ManualClock } from '@apricotrill/utils';
import { createManifest } from '../../bench/createManifest.js';
import { createClusterCounters } from '../ClusterCounters.js';
import { defaultClusterOptions } from '../clusterOptions.js';
import type { CoreEffect } from '../coreMessages.js';
import type { PeerResponse, PeerRequest } from '../messages.js';
import { PeerCalls } from '../PeerCalls/PeerCalls.js';
import { ConfigurationDistributor } from './ConfigurationDistributor.js';

type Respond = (request: PeerRequest) => PeerResponse | undefined;

type Effect<Kind> = Extract<CoreEffect, { kind: Kind }>;

/** A distributor whose peers, by address, respond as given, each time the test calls `respond`. */
function createTestDistributor(peers: Record<string, Respond>) {
  const effects: CoreEffect[] = [];
  const emit = (effect: CoreEffect) => effects.push(effect);
  const clock = new ManualClock();
  const random = createRandom(1);
  const counters = createClusterCounters();
  const context = { clock, random, options: defaultClusterOptions, counters, emit };
  const calls = new PeerCalls(emit);
  const distributor = new ConfigurationDistributor({ context, calls, pushGeneration: () => {} });
  const take = <Kind extends CoreEffect['kind']>(kind: Kind) => {
    const index = effects.findIndex((effect) => effect.kind === kind);
    return effects.splice(index, index < 0 ? 0 : 1)[0] as Effect<Kind> | undefined;
  };
  const respond = (call: Effect<'call'>) =>
    calls.settle(call.callId, peers[call.address]!(call.request));
  /** Responds to calls until there are none left, and returns how many there were. */
  const respondToAll = (): number => {
    const call = take('call');
    if (call === undefined) {
      return 0;
    }
    respond(call);
    return 1 + respondToAll();
  };
  return { distributor, clock, take, respond, respondToAll };
}

const acceptedManifests = [0, 1, 2].map((generation) => createManifest(generation, 600));

function getPartTexts(generation: number): Map<string, string> {
  return new Map(acceptedManifests[generation]!.parts.map(({ hash, text }) => [hash, text]));
}

/** A peer that holds a generation and responds to fetches of parts as given. */
function createPeer(generation: number, parts: ReadonlyMap<string, string>): Respond {
  const { manifest } = acceptedManifests[generation]!;
  return ({ kind }) =>
    kind === 'fetch-manifest'
      ? { kind: 'manifest', generation, transfer: { kind: 'whole', manifest }, parts: new Map() }
      : { kind: 'parts', generation, parts };
}

const wrongTexts = new Map(
  [...getPartTexts(1).keys()].map((hash) => [hash, '{"list":"services"}']),
);

const noParts = new Map<string, string>();

describe('ConfigurationDistributor with faulty peers', () => {
  it('reads the parts from the store if the only peer sends wrong texts', () => {
    // Guards against a generation that never becomes active, or becomes active with other content,
    // because the wrong texts of a peer are accepted or kept.
    const { distributor, take, respondToAll } = createTestDistributor({
      a: createPeer(1, wrongTexts),
    });
    distributor.handleGeneration(1, 'a');
    respondToAll();
    expect(distributor.getGeneration()).toBe(0);
    const read = take('read-parts')!;
    distributor.handleStoreParts(read.readId, getPartTexts(1));
    expect(distributor.getGeneration()).toBe(1);
  });

  it('switches to another peer immediately if one does not provide the parts', () => {
    // Guards against a daemon that starts over again and again during a store outage, because it
    // requests parts only from the store and the peer that sent the manifest, which has stopped.
    const peers = { a: createPeer(1, noParts), b: createPeer(1, getPartTexts(1)) };
    const { distributor, respondToAll } = createTestDistributor(peers);
    distributor.handleGeneration(1, 'a');
    distributor.handleGeneration(1, 'b');
    respondToAll();
    expect(distributor.getGeneration()).toBe(1);
  });

  it('does not abandon a generation because of a late failure of the previous one', () => {
    // Guards against a change that becomes active only after the next poll: the read of a
    // generation's parts fails after those of a higher one were requested, and the failure is taken
    // for one of the second read.
    const { distributor, take } = createTestDistributor({});
    distributor.handleStoreManifest(acceptedManifests[1]!.manifest);
    const first = take('read-parts')!;
    distributor.handleStoreManifest(acceptedManifests[2]!.manifest);
    const second = take('read-parts')!;
    distributor.handleStoreParts(first.readId, noParts);
    distributor.handleStoreParts(second.readId, getPartTexts(2));
    expect(distributor.getGeneration()).toBe(2);
  });

  it('does not resume the assembly of a lower generation on a late response of a peer', () => {
    // Guards against the same symptom: parts are fetched from a peer, a higher generation arrives
    // from the store, and the peer's late response brings back the assembly of the lower one.
    const { distributor, take, respond } = createTestDistributor({
      a: createPeer(1, getPartTexts(1)),
    });
    distributor.handleGeneration(1, 'a');
    respond(take('call')!);
    const late = take('call')!;
    distributor.handleStoreManifest(acceptedManifests[2]!.manifest);
    const read = take('read-parts')!;
    respond(late);
    expect(distributor.getGeneration()).toBe(0);
    distributor.handleStoreParts(read.readId, getPartTexts(2));
    expect(distributor.getGeneration()).toBe(2);
  });

  it('does not call a peer that did not respond again until the peer reports its generation', () => {
    // Guards against a daemon that calls a crashed peer forever, because it keeps the generation
    // that the peer reported although the peer does not respond.
    const { distributor, respondToAll } = createTestDistributor({ a: () => undefined });
    distributor.handleGeneration(1, 'a');
    const SINGLE_CALL = 1;
    expect(respondToAll()).toBe(SINGLE_CALL);
  });
});
