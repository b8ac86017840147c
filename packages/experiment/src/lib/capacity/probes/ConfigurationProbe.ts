import { InForceConfiguration } from '@apricotrill/configuration';
import { getLineValue } from '../../measure/fitLine.js';
import { measureHeap, measureLine, measureProcessorTime } from '../../measure/measureCost.js';
import type { CapacityProbe, RoleCapacity, Slope } from '../CapacityProbe.js';
import { CHANGES_PER_SECOND, twoYearSize } from '../twoYearSize.js';
import { createEdited, createGeneration, createSizedConfiguration } from './sizedConfiguration.js';

const SIZES = [100, 1_000, 3_000, twoYearSize.replicas];

const EDITS = 20;

/** Watchers that hold a watch at the store, in each availability zone. */
const WATCHERS_PER_ZONE = 2;

/** Milliseconds to put one edit in force. */
async function measureEdit(replicas: number): Promise<number> {
  const first = createSizedConfiguration(replicas);
  const inForce = new InForceConfiguration();
  const start = createGeneration(first, 1);
  inForce.offer(start.manifest, start.texts);
  const edits = Array.from({ length: EDITS }, (_, edit) =>
    createGeneration(createEdited(first, edit), edit + 2),
  );
  const span = await measureProcessorTime(() => {
    edits.forEach(({ manifest, texts }) => inForce.offer(manifest, texts));
  });
  return span / EDITS;
}

/** Bytes of a manifest and of the parts that one edit changes. */
function measureEditBytes(replicas: number): number {
  const first = createSizedConfiguration(replicas);
  const before = createGeneration(first, 1);
  const after = createGeneration(createEdited(first, 0), 2);
  const changed = [...after.texts].filter(([hash]) => !before.texts.has(hash));
  const partBytes = changed.reduce((sum, [, text]) => sum + Buffer.byteLength(text), 0);
  return Buffer.byteLength(JSON.stringify(after.manifest)) + partBytes;
}

function createInForce(replicas: number): InForceConfiguration {
  const inForce = new InForceConfiguration();
  const { manifest, texts } = createGeneration(createSizedConfiguration(replicas), 1);
  inForce.offer(manifest, texts);
  return inForce;
}

async function measureSlopes(): Promise<{ edit: Slope; bytes: Slope; heap: Slope }> {
  const common = { sizeName: 'replicas (workspaces in proportion)', atSize: twoYearSize.replicas };
  return {
    edit: {
      ...common,
      figure: 'putting one edit in force',
      unit: 'ms',
      line: await measureLine(SIZES, measureEdit),
    },
    bytes: {
      ...common,
      figure: 'manifest and changed parts of one edit',
      unit: 'bytes',
      line: await measureLine(SIZES, measureEditBytes),
    },
    heap: {
      ...common,
      figure: 'heap of the configuration in force, with its part texts',
      unit: 'bytes',
      line: await measureLine(SIZES, (size) => measureHeap(() => createInForce(size))),
    },
  };
}

/** What a change of configuration costs each daemon as the register grows. */
export const configurationProbe: CapacityProbe = {
  role: 'configuration watch and relay',
  async measure(): Promise<RoleCapacity> {
    const slopes = await measureSlopes();
    const getAtSize = ({ line, atSize }: Slope) => getLineValue(line, atSize);
    const watchers = WATCHERS_PER_ZONE * twoYearSize.availabilityZones;
    const bytes = getAtSize(slopes.bytes);
    return {
      role: 'configuration watch and relay',
      mechanism: 'configuration: ConfigurationStore, InForceConfiguration; cluster: relay',
      state: 'the configuration in force and the texts of its parts',
      isControl: true,
      daemon: {
        messagesPerSecond: 2 * 2 * CHANGES_PER_SECOND,
        // Each daemon fetches a change once and, on average, hands it on once.
        bytesPerSecond: 2 * bytes * CHANGES_PER_SECOND,
        core: (getAtSize(slopes.edit) * CHANGES_PER_SECOND) / 1000,
        memoryBytes: getAtSize(slopes.heap),
      },
      store: {
        // Each change wakes every watch; the watcher reads the manifest with it and the part.
        readsPerSecond: 2 * watchers * CHANGES_PER_SECOND,
        // The changed part, the manifest, and its copy in the archive.
        writesPerSecond: 3 * CHANGES_PER_SECOND,
        waitingWatches: watchers,
      },
      slopes: Object.values(slopes),
      assumptions: [
        `${WATCHERS_PER_ZONE} watchers in each availability zone (docs/DESIGN.md)`,
        'each daemon fetches a change from one peer and hands it on to one, on average: a change reaches everyone once',
        'an edit touches one replica',
      ],
    };
  },
};
