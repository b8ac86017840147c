import { StepError } from '@apricotrill/utils';
import fc from 'fast-check';
import { createManifest } from '../../bench/createManifest.js';
import { ManifestHistory } from '../ManifestHistory/ManifestHistory.js';
import { MemberState } from '../Member.js';
import type { MemberRecord } from '../Member.js';
import type { PeerResponse, PeerRequest, Rumour, MemberStateUpdate } from '../messages.js';
import { decodeResponse, decodeRequest, encodeResponse, encodeRequest } from './messageCodec.js';

const nameArbitrary = fc.string({ minLength: 1, maxLength: 20 });
const countArbitrary = fc.nat();
const portArbitrary = fc.nat({ max: 65_535 });

const recordArbitrary: fc.Arbitrary<MemberRecord> = fc.record({
  id: nameArbitrary,
  incarnation: fc.nat({ max: Number.MAX_SAFE_INTEGER }),
  refutation: countArbitrary,
  state: fc.constantFrom(...Object.values(MemberState)),
  region: nameArbitrary,
  availabilityZone: nameArbitrary,
  host: nameArbitrary,
  port: portArbitrary,
  meshPort: portArbitrary,
  adminPort: portArbitrary,
});

const updatedStateArbitrary = fc.constantFrom<MemberStateUpdate['state'][]>(
  MemberState.Suspect,
  MemberState.Dead,
);

const noticeArbitrary = fc.record({ replica: nameArbitrary, remaining: countArbitrary });

const servicesArbitrary = fc.array(
  fc.record({
    service: nameArbitrary,
    running: countArbitrary,
    waiting: countArbitrary,
    refused: countArbitrary,
  }),
);

const rumoursArbitrary = fc.array(
  fc.oneof<fc.Arbitrary<Rumour>[]>(
    recordArbitrary.map((member) => ({ kind: 'member', record: member })),
    fc
      .record({
        id: nameArbitrary,
        incarnation: countArbitrary,
        refutation: countArbitrary,
        state: updatedStateArbitrary,
      })
      .map((update) => ({ kind: 'member-state', update })),
    noticeArbitrary.map((value) => ({ kind: 'replica-leaving', notice: value })),
    fc
      .record({
        availabilityZone: nameArbitrary,
        version: countArbitrary,
        daemons: countArbitrary,
        services: servicesArbitrary,
      })
      .map((report) => ({ kind: 'zone-load', report })),
  ),
);

const requestArbitrary = fc.oneof<fc.Arbitrary<PeerRequest>[]>(
  fc.record({ kind: fc.constant('gossip'), generation: countArbitrary, rumours: rumoursArbitrary }),
  fc.record({
    kind: fc.constant('ping'),
    generation: countArbitrary,
    rumours: rumoursArbitrary,
    member: nameArbitrary,
  }),
  fc.record({
    kind: fc.constant('indirect-ping'),
    generation: countArbitrary,
    rumours: rumoursArbitrary,
    member: nameArbitrary,
    address: nameArbitrary,
  }),
  fc.record({
    kind: fc.constant('sync'),
    generation: countArbitrary,
    sender: recordArbitrary,
    startBucket: fc.nat({ max: 63 }),
    bucketHashes: fc.uint8Array({ minLength: 256, maxLength: 256 }),
  }),
  fc.record({ kind: fc.constant('fetch-manifest'), generation: countArbitrary }),
  fc.record({
    kind: fc.constant('fetch-parts'),
    generation: countArbitrary,
    hashes: fc.array(nameArbitrary),
  }),
  fc.record({ kind: fc.constant('load'), generation: countArbitrary, services: servicesArbitrary }),
);

const partTextsArbitrary = fc
  .array(fc.tuple(nameArbitrary, fc.string()))
  .map((pairs) => new Map(pairs));

const responseArbitrary = fc.oneof<fc.Arbitrary<PeerResponse>[]>(
  fc.record({ kind: fc.constant('ack'), generation: countArbitrary, rumours: rumoursArbitrary }),
  fc.record({ kind: fc.constant('nack'), generation: countArbitrary }),
  fc.record({
    kind: fc.constant('sync-page'),
    generation: countArbitrary,
    records: fc.array(recordArbitrary),
    notices: fc.array(noticeArbitrary),
    nextBucket: fc.integer({ min: -1, max: 63 }),
  }),
  fc.record({ kind: fc.constant('parts'), generation: countArbitrary, parts: partTextsArbitrary }),
);

const SEED = 7;

describe('messageCodec', () => {
  it('decodes every message to what was encoded', () => {
    fc.assert(
      fc.property(requestArbitrary, responseArbitrary, (request, response) => {
        expect(decodeRequest(encodeRequest(request), 'peer')).toEqual(request);
        expect(decodeResponse(encodeResponse(response), 'peer')).toEqual(response);
      }),
      { seed: SEED },
    );
  });

  it('decodes manifests to what was encoded, whole and as a much smaller delta', () => {
    const history = new ManifestHistory();
    const [before, after] = [createManifest(1, 20_000), createManifest(2, 20_000)];
    const getTransferSize = (heldGeneration: number) => {
      const transfer = history.createTransfer(after.manifest, heldGeneration);
      const parts = new Map<string, string>();
      const encoded = encodeResponse({ kind: 'manifest', generation: 2, transfer, parts });
      const decoded = decodeResponse(encoded, 'peer');
      expect(decoded).toMatchObject({ kind: 'manifest', transfer: { kind: transfer.kind } });
      const manifest = decoded.kind === 'manifest' && history.resolveTransfer(decoded.transfer);
      expect(manifest).toEqual(after.manifest);
      return JSON.stringify(transfer).length;
    };
    const wholeSize = getTransferSize(1);
    history.add(before.manifest);
    expect(getTransferSize(1)).toBeLessThan(wholeSize / 3);
  });

  it('rejects a delta whose result does not match the content hash', () => {
    // Guards against daemons that hold different configurations of one generation, because a peer's
    // delta was made from a different base of the same generation and its result is not verified.
    const [local, remote] = [new ManifestHistory(), new ManifestHistory()];
    local.add(createManifest(1, 500).manifest);
    remote.add(createManifest(1, 2000).manifest);
    const transfer = remote.createTransfer(createManifest(2, 2000).manifest, 1);
    expect(local.resolveTransfer(transfer)).toBeUndefined();
  });

  it('rejects anything else with a StepError', () => {
    const invalidCompressedText = [4, 1, [['hash', new Uint8Array([1, 2, 3])]]];
    fc.assert(
      fc.property(fc.oneof(fc.anything(), fc.constant(invalidCompressedText)), (message) => {
        expect(() => decodeRequest(message, 'peer')).toThrow(StepError);
        expect(() => decodeResponse(message, 'peer')).toThrow(StepError);
      }),
      { seed: SEED },
    );
  });
});
