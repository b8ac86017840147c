import { createRandom, ManualClock } from '@apricotrill/utils';
import { createManifest } from '../../bench/createManifest.js';
import { createClusterCounters } from '../ClusterCounters.js';
import { defaultClusterOptions } from '../clusterOptions.js';
import type { CoreEffect } from '../coreMessages.js';
import type { PeerAnswer, PeerRequest } from '../messages.js';
import { PeerCalls } from '../PeerCalls/PeerCalls.js';
import { ConfigurationSpread } from '../ConfigurationDistributor/ConfigurationDistributor.js';

type Answer = (request: PeerRequest) => PeerAnswer | undefined;

type Effect<Kind> = Extract<CoreEffect, { kind: Kind }>;

/** One daemon's spread; its peers answer as the test says, by address, when the test says. */
function createRig(peers: Record<string, Answer>) {
  const effects: CoreEffect[] = [];
  const emit = (effect: CoreEffect) => effects.push(effect);
  const clock = new ManualClock();
  const random = createRandom(1);
  const counters = createClusterCounters();
  const context = { clock, random, options: defaultClusterOptions, counters, emit };
  const calls = new PeerCalls(emit);
  const spread = new ConfigurationSpread({ context, calls, pushNews: () => {} });
  const take = <Kind extends CoreEffect['kind']>(kind: Kind) => {
    const index = effects.findIndex((effect) => effect.kind === kind);
    return effects.splice(index, index < 0 ? 0 : 1)[0] as Effect<Kind> | undefined;
  };
  const answer = (call: Effect<'call'>) =>
    calls.settle(call.callId, peers[call.address]!(call.request));
  /** Answers calls until there are none. */
  const answerAll = (): number => {
    const call = take('call');
    if (call === undefined) {
      return 0;
    }
    answer(call);
    return 1 + answerAll();
  };
  return { spread, clock, take, answer, answerAll };
}

const accepted = [0, 1, 2].map((generation) => createManifest(generation, 600));

function getTexts(generation: number): Map<string, string> {
  return new Map(accepted[generation]!.parts.map(({ hash, text }) => [hash, text]));
}

/** A peer that holds a generation and answers requests for parts as given. */
function createPeer(generation: number, parts: ReadonlyMap<string, string>): Answer {
  const { manifest } = accepted[generation]!;
  return ({ kind }) =>
    kind === 'fetch-manifest'
      ? { kind: 'manifest', generation, transfer: { kind: 'whole', manifest }, parts: new Map() }
      : { kind: 'parts', generation, parts };
}

const spoilt = new Map([...getTexts(1).keys()].map((hash) => [hash, '{"list":"services"}']));

const nothing = new Map<string, string>();

describe('ConfigurationSpread with peers that fail it', () => {
  it('reads the parts from the store when the only peer sends other texts than it named', () => {
    // Symptom: a generation never comes in force at a daemon, or comes in force with other content.
    // Sequence: the only peer that told of it sends wrong texts, whenever it is asked.
    // Cause: whatever a peer sends is taken, or kept.
    const { spread, take, answerAll } = createRig({ a: createPeer(1, spoilt) });
    spread.hearGeneration(1, 'a');
    answerAll();
    expect(spread.getGeneration()).toBe(0);
    const read = take('read-parts')!;
    spread.hearStoreParts(read.readId, getTexts(1));
    expect(spread.getGeneration()).toBe(1);
  });

  it('goes on with another peer at once when one has no parts to give', () => {
    // Symptom: during an outage of the store a daemon starts over again and again.
    // Sequence: the peer that gives the manifest ends before it has given the parts.
    // Cause: only that peer and the store are asked for parts.
    const peers = { a: createPeer(1, nothing), b: createPeer(1, getTexts(1)) };
    const { spread, answerAll } = createRig(peers);
    spread.hearGeneration(1, 'a');
    spread.hearGeneration(1, 'b');
    answerAll();
    expect(spread.getGeneration()).toBe(1);
  });

  it('does not give up on a generation for a late failure of the one before', () => {
    // Symptom: a change is in force late, after the next poll.
    // Sequence: parts of a generation are asked for; a higher one comes up and its parts are asked
    // for as well; the first question fails.
    // Cause: the failure is taken for one of the second question.
    const { spread, take } = createRig({});
    spread.hearManifest(accepted[1]!.manifest);
    const first = take('read-parts')!;
    spread.hearManifest(accepted[2]!.manifest);
    const second = take('read-parts')!;
    spread.hearStoreParts(first.readId, nothing);
    spread.hearStoreParts(second.readId, getTexts(2));
    expect(spread.getGeneration()).toBe(2);
  });

  it('does not go back to a generation on its way for a late answer of a peer', () => {
    // Symptom: as above.
    // Sequence: parts are asked for at a peer; a higher generation comes up from the store; the
    // peer answers.
    // Cause: the late answer brings the lower generation's assembly back.
    const { spread, take, answer } = createRig({ a: createPeer(1, getTexts(1)) });
    spread.hearGeneration(1, 'a');
    answer(take('call')!);
    const late = take('call')!;
    spread.hearManifest(accepted[2]!.manifest);
    const read = take('read-parts')!;
    answer(late);
    expect(spread.getGeneration()).toBe(0);
    spread.hearStoreParts(read.readId, getTexts(2));
    expect(spread.getGeneration()).toBe(2);
  });

  it('does not ask a peer again that did not answer, until it tells again', () => {
    // Symptom: a daemon calls a dead peer without end.
    // Sequence: a peer tells of a generation and crashes.
    // Cause: its word outlives its failure to answer.
    const { spread, answerAll } = createRig({ a: () => undefined });
    spread.hearGeneration(1, 'a');
    const ASKED_ONCE = 1;
    expect(answerAll()).toBe(ASKED_ONCE);
  });
});
