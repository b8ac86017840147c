import { AttemptEnd } from '../../decide/messages.js';
import type {
  PlacementQuery,
  QuarantinedContent,
  SharedAttempt,
  SharedLimit,
  PlacementUpdate,
} from '../../decide/messages.js';
import { leavingOptions } from '../../decide/LeavingReplicas/LeavingReplicas.js';
import { backoffOptions } from '../../decide/ReplicaBackoffs/ReplicaBackoffs.js';
import { limitOptions } from '../../decide/limits/limitOptions.js';
import { quarantineOptions } from '../../decide/quarantine/quarantineOptions.js';
import { decodeDatagram, encodeDatagram } from './datagram.js';
import type { Datagram } from './datagram.js';

const ATTEMPT: SharedAttempt = {
  key: '9c41d07be2a35f68/1',
  replica: 'i-c5d157d853',
  missingTokens: 2_890,
  memoryTokens: 9_240,
  isResponding: true,
  pauseTarget: 250,
  prompt: { model: 'm', inputTokens: 5, outputTokens: 7, parts: [{ id: 'p', tokens: 5 }] },
};

const QUERY: PlacementQuery = {
  key: 'k',
  criteria: {
    service: 'llm',
    rank: 1,
    latencyTarget: 300,
    pauseTarget: 250,
    prompt: ATTEMPT.prompt,
  },
  availabilityZone: 'a',
  excludedReplicas: ['i-9'],
};

const PLACEMENT = {
  replica: 'i-1',
  expected: 80,
  missingTokens: 700,
  tokensAhead: 1_400,
  copyTime: 5,
};

const FROM = { id: 'd-1', address: '10.0.0.1:7001', availabilityZone: 'zone-a' };

describe('datagram', () => {
  it('is the same after encoding and decoding', () => {
    const datagram: Datagram = {
      from: FROM,
      sentAt: 1_770_436_976_235,
      updates: [
        { kind: 'placed', attempt: ATTEMPT },
        { kind: 'first-byte-received', key: 'k' },
        {
          kind: 'first-byte-received',
          key: 'k',
          load: { running: 3, waiting: 1, slots: 8, slowdown: 2.5 },
        },
        {
          kind: 'first-byte-received',
          key: 'k',
          load: { running: 3, waiting: 1, slots: 8 },
        },
        { kind: 'ended', key: 'k' },
        { kind: 'ended', key: 'k', result: { end: AttemptEnd.Completed, duration: 120 } },
        { kind: 'ask', query: QUERY },
        { kind: 'ask', query: { ...QUERY, criteria: { ...QUERY.criteria, prompt: undefined } } },
        {
          kind: 'ask',
          query: {
            ...QUERY,
            claim: {
              group: 'llm/a',
              workspace: 'shop',
              fingerprint: 'f',
              waited: 40,
              timeLeft: 5_000,
            },
          },
        },
        { kind: 'reply', response: { key: 'k', queued: { expectedWait: 120 } } },
        { kind: 'reply', response: { key: 'k', refused: { retryAfter: 800 } } },
        {
          kind: 'group-loads',
          service: 'llm',
          loads: [{ group: 'llm/zone-a', expectedWait: 80, room: 4 }],
        },
        { kind: 'reply', response: { key: 'k' } },
        { kind: 'reply', response: { key: 'k', placement: PLACEMENT } },
        {
          kind: 'reply',
          response: { key: 'k', placement: { ...PLACEMENT, fetchFrom: 'i-2', fetchTokens: 900 } },
        },
        {
          kind: 'usage',
          usage: { source: 'd-1/17', window: 354_087_399, counts: [['shop', 4]] },
        },
        { kind: 'demand', demand: [{ service: 'llm', tokensPerSecond: 900, running: 3 }] },
        { kind: 'attempt-broken', replica: 'i-1' },
        { kind: 'crashed', replica: 'i-1', fingerprints: ['a', 'b'] },
        { kind: 'cleared', fingerprint: 'a' },
        {
          kind: 'limits',
          limits: [
            { replica: 'i-1', perSecond: 0.4, age: 20 },
            { replica: 'i-2', perSecond: undefined, age: 0 },
          ],
        },
        { kind: 'leaving', replicas: ['i-1', 'i-2'] },
        { kind: 'backoffs', backoffs: [{ replica: 'i-1', remaining: 2_500 }] },
        {
          kind: 'quarantined',
          contents: [{ fingerprint: 'b', remaining: 900_000, replicas: ['i-1', 'i-2'] }],
        },
        {
          kind: 'attempt-list',
          attempts: [
            { ...ATTEMPT, prompt: undefined, pauseTarget: undefined, isResponding: false },
          ],
        },
      ],
      changes: { configuration: { era: 3, revision: 17 }, replicas: { revision: 29 } },
    };
    expect(decodeDatagram(encodeDatagram(datagram))).toEqual(datagram);
  });

  it('states the capacity of the sender with the time of sending', () => {
    const from = { ...FROM, capacity: 12.5 };
    const datagram = { from, updates: [], changes: undefined };
    const withTime = { ...datagram, sentAt: 1_700_000_000_000 };
    expect(decodeDatagram(encodeDatagram(withTime))).toEqual(withTime);
    expect(decodeDatagram(encodeDatagram(datagram)).from).toEqual(FROM);
  });

  // Guards against a daemon that ends when it sends a datagram to an address that can't be used.
  it.each(['127.0.0.1:70000', '127.0.0.1:0', '999.0.0.1:80', 'a:1'])(
    'is rejected if its sender states the address %j',
    (address) => {
      const from = { id: 'd-9', address, availabilityZone: 'a' };
      const bytes = encodeDatagram({ from, updates: [] });
      expect(() => decodeDatagram(bytes)).toThrow();
    },
  );

  it('fits 20 attempts into one unfragmented packet', () => {
    const attempts = Array<SharedAttempt>(20).fill({ ...ATTEMPT, prompt: undefined });
    const bytes = encodeDatagram({ from: FROM, updates: [{ kind: 'attempt-list', attempts }] });
    expect(bytes.length).toBeLessThan(1_472);
  });

  it('fits crashes and quarantined requests into one unfragmented packet', () => {
    const fingerprint = 'part:k2h5-9sZ_q0WcV3b';
    const fingerprints = Array<string>(quarantineOptions.maxFingerprintsPerDatagram).fill(
      fingerprint,
    );
    const replicas = Array<string>(quarantineOptions.crashThreshold).fill(
      'i-c5d157d853@1764763200000',
    );
    const request = { fingerprint, remaining: quarantineOptions.duration, replicas };
    const requests = Array<QuarantinedContent>(quarantineOptions.maxEntriesPerDatagram).fill(
      request,
    );
    const limit = { replica: 'i-c5d157d853@1764763200000', perSecond: 12.75, age: 10_000 };
    const limits = Array<SharedLimit>(limitOptions.maxPerDatagram).fill(limit);
    const leaving = Array<string>(leavingOptions.maxPerDatagram).fill(limit.replica);
    const backoffs = leaving.map((replica) => ({ replica, remaining: backoffOptions.maxSpan }));
    const updates: PlacementUpdate[] = [
      { kind: 'crashed', replica: 'i-c5d157d853@1764763200000', fingerprints },
      { kind: 'quarantined', contents: requests },
      { kind: 'limits', limits },
      { kind: 'leaving', replicas: leaving },
      { kind: 'backoffs', backoffs },
    ];
    updates.forEach((update) => {
      expect(encodeDatagram({ from: FROM, updates: [update] }).length).toBeLessThan(1_472);
    });
  });

  it.each([
    'nonsense',
    '{}',
    '[]',
    '["d","a","z",[["x","y"]],null]',
    '["d","a","z",[],{"r":"new"}]',
  ])('is rejected if it is malformed: %s', (text) => {
    expect(() => decodeDatagram(Buffer.from(text))).toThrow();
  });
});
