import { StepError } from '@apricotrill/utils';
import fc from 'fast-check';
import { createManifest } from '../../bench/createManifest.js';
import { ManifestHistory } from '../ManifestHistory/ManifestHistory.js';
import { MemberState } from '../Member.js';
import type { MemberRecord } from '../Member.js';
import type { PeerAnswer, PeerRequest, Rumour, Verdict } from '../messages.js';
import { decodeAnswer, decodeRequest, encodeAnswer, encodeRequest } from './messageCodec.js';

const name = fc.string({ minLength: 1, maxLength: 20 });
const count = fc.nat();
const port = fc.nat({ max: 65_535 });

const record: fc.Arbitrary<MemberRecord> = fc.record({
  id: name,
  incarnation: fc.nat({ max: Number.MAX_SAFE_INTEGER }),
  refutation: count,
  state: fc.constantFrom(...Object.values(MemberState)),
  region: name,
  availabilityZone: name,
  host: name,
  port,
  meshPort: port,
  adminPort: port,
});

const verdictState = fc.constantFrom<Verdict['state'][]>(MemberState.Suspect, MemberState.Dead);

const notice = fc.record({ replica: name, remaining: count });

const services = fc.array(
  fc.record({ service: name, running: count, waiting: count, refused: count }),
);

const rumours = fc.array(
  fc.oneof<fc.Arbitrary<Rumour>[]>(
    record.map((member) => ({ kind: 'member', record: member })),
    fc
      .record({ id: name, incarnation: count, refutation: count, state: verdictState })
      .map((verdict) => ({ kind: 'verdict', verdict })),
    notice.map((value) => ({ kind: 'replica-leaving', notice: value })),
    fc
      .record({ availabilityZone: name, version: count, daemons: count, services })
      .map((report) => ({ kind: 'zone-load', report })),
  ),
);

const requests = fc.oneof<fc.Arbitrary<PeerRequest>[]>(
  fc.record({ kind: fc.constant('gossip'), generation: count, rumours }),
  fc.record({ kind: fc.constant('ping'), generation: count, rumours, member: name }),
  fc.record({
    kind: fc.constant('ping-through'),
    generation: count,
    rumours,
    member: name,
    address: name,
  }),
  fc.record({
    kind: fc.constant('sync'),
    generation: count,
    self: record,
    start: fc.nat({ max: 63 }),
    buckets: fc.uint8Array({ minLength: 256, maxLength: 256 }),
  }),
  fc.record({ kind: fc.constant('fetch-manifest'), generation: count }),
  fc.record({ kind: fc.constant('fetch-parts'), generation: count, hashes: fc.array(name) }),
  fc.record({ kind: fc.constant('load'), generation: count, services }),
);

const texts = fc.array(fc.tuple(name, fc.string())).map((pairs) => new Map(pairs));

const answers = fc.oneof<fc.Arbitrary<PeerAnswer>[]>(
  fc.record({ kind: fc.constant('ack'), generation: count, rumours }),
  fc.record({ kind: fc.constant('nothing'), generation: count }),
  fc.record({
    kind: fc.constant('sync-page'),
    generation: count,
    records: fc.array(record),
    notices: fc.array(notice),
    next: fc.integer({ min: -1, max: 63 }),
  }),
  fc.record({ kind: fc.constant('parts'), generation: count, parts: texts }),
);

const SEED = 7;

describe('messageCodec', () => {
  it('gives back every message as it was', () => {
    fc.assert(
      fc.property(requests, answers, (request, answer) => {
        expect(decodeRequest(encodeRequest(request), 'peer')).toEqual(request);
        expect(decodeAnswer(encodeAnswer(answer), 'peer')).toEqual(answer);
      }),
      { seed: SEED },
    );
  });

  it('gives back manifests, whole and as a difference that is far smaller', () => {
    const history = new ManifestHistory();
    const [before, after] = [createManifest(1, 20_000), createManifest(2, 20_000)];
    const carry = (held: number) => {
      const transfer = history.getTransfer(after.manifest, held);
      const parts = new Map<string, string>();
      const encoded = encodeAnswer({ kind: 'manifest', generation: 2, transfer, parts });
      const decoded = decodeAnswer(encoded, 'peer');
      expect(decoded).toMatchObject({ kind: 'manifest', transfer: { kind: transfer.kind } });
      const manifest = decoded.kind === 'manifest' && history.getManifest(decoded.transfer);
      expect(manifest).toEqual(after.manifest);
      return JSON.stringify(transfer).length;
    };
    const whole = carry(1);
    history.add(before.manifest);
    expect(carry(1)).toBeLessThan(whole / 3);
  });

  it('refuses a difference whose result is not the manifest it claims to be', () => {
    // Symptom: daemons of one generation hold different configurations.
    // Sequence: a peer's difference was made against another base of the same generation.
    // Cause: the result is taken without a check.
    const [here, there] = [new ManifestHistory(), new ManifestHistory()];
    here.add(createManifest(1, 500).manifest);
    there.add(createManifest(1, 2000).manifest);
    const transfer = there.getTransfer(createManifest(2, 2000).manifest, 1);
    expect(here.getManifest(transfer)).toBeUndefined();
  });

  it('refuses anything else with an error that names the peer', () => {
    const bomb = [4, 1, [['hash', new Uint8Array([1, 2, 3])]]];
    fc.assert(
      fc.property(fc.oneof(fc.anything(), fc.constant(bomb)), (message) => {
        expect(() => decodeRequest(message, 'peer')).toThrow(StepError);
        expect(() => decodeAnswer(message, 'peer')).toThrow(StepError);
      }),
      { seed: SEED },
    );
  });
});
