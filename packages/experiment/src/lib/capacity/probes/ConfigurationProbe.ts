import { ActiveConfiguration } from '@apricotrill/configuration';
import { defaultClusterOptions } from '@apricotrill/cluster';
import { fitLine } from '../../measure/fitLine.js';
import type { Line } from '../../measure/fitLine.js';
import { measureHeap, measureLine, measureProcessorTime } from '../../measure/measureCost.js';
import { getWorkedOut } from '../CapacityProbe.js';
import type { CapacityProbe, RoleCapacity, Slope } from '../CapacityProbe.js';
import { CHANGES_PER_SECOND, twoYearSize } from '../twoYearSize.js';
import { ClusterFleet } from './ClusterFleet.js';
import { FRAME_BYTES, IN_AND_OUT } from './MemoryNetwork.js';
import { readSpread } from './readSpread.js';
import type { SpreadReading } from './readSpread.js';
import { createEdited, createGeneration, createSizedConfiguration } from './sizedConfiguration.js';

const SIZES = [100, 1_000, 3_000, twoYearSize.replicas];

const EDITS = 20;

const FLEETS = [24, 80, 160, 300];

const WRITES_PER_CHANGE = 3;

const MILLISECONDS_PER_SECOND = 1000;

/** Milliseconds to put one edit in force. */
async function measureEdit(replicas: number): Promise<number> {
  const first = createSizedConfiguration(replicas);
  const inForce = new ActiveConfiguration();
  const start = createGeneration(first, 1);
  inForce.activate(start.manifest, start.texts);
  const edits = Array.from({ length: EDITS }, (_, edit) =>
    createGeneration(createEdited(first, edit), edit + 2),
  );
  const span = await measureProcessorTime(() => {
    edits.forEach(({ manifest, texts }) => inForce.activate(manifest, texts));
  });
  return span / EDITS;
}

function createInForce(replicas: number): ActiveConfiguration {
  const inForce = new ActiveConfiguration();
  const { manifest, texts } = createGeneration(createSizedConfiguration(replicas), 1);
  inForce.activate(manifest, texts);
  return inForce;
}

/** At one daemon, as the register grows. */
async function measureDaemonSlopes(): Promise<Record<'edit' | 'heap', Slope>> {
  const common = { sizeName: 'replicas (workspaces in proportion)', atSize: twoYearSize.replicas };
  return {
    edit: {
      ...common,
      figure: 'putting one edit in force',
      unit: 'ms',
      line: await measureLine(SIZES, measureEdit),
    },
    heap: {
      ...common,
      figure: 'heap of the configuration in force, with its part texts',
      unit: 'bytes',
      line: await measureLine(SIZES, (size) => measureHeap(() => createInForce(size))),
    },
  };
}

async function readAll<Size>(
  sizes: readonly Size[],
  read: (size: Size) => Promise<SpreadReading>,
): Promise<SpreadReading[]> {
  const readings: SpreadReading[] = [];
  for (let index = 0; index < sizes.length; index += 1) {
    // eslint-disable-next-line no-await-in-loop
    readings.push(await read(sizes[index]!));
  }
  return readings;
}

function fitReadings(
  sizes: readonly number[],
  readings: SpreadReading[],
  field: keyof SpreadReading,
): Line {
  return fitLine(sizes.map((size, index) => ({ size, value: readings[index]![field] })));
}

/** Over a fleet: as it grows, and as the register grows. */
async function measureSpreadSlopes(): Promise<
  Record<'delay' | 'messages' | 'reads' | 'bytes', Slope>
> {
  const fleets = await readAll(FLEETS, (daemons) => readSpread(daemons, SIZES[0]!));
  const registers = await readAll(SIZES, (replicas) => readSpread(FLEETS[0]!, replicas));
  const ofFleet = { sizeName: 'daemons', atSize: twoYearSize.daemons };
  return {
    delay: {
      ...ofFleet,
      figure: 'from acceptance to in force at the last daemon',
      unit: 'ms',
      line: fitReadings(FLEETS, fleets, 'delay'),
    },
    messages: {
      ...ofFleet,
      figure: 'messages one daemon sends for a change',
      unit: '',
      line: fitReadings(FLEETS, fleets, 'messages'),
    },
    reads: {
      ...ofFleet,
      figure: `store reads for a change, ${ClusterFleet.zones} availability zones`,
      unit: '',
      line: fitReadings(FLEETS, fleets, 'reads'),
    },
    bytes: {
      figure: 'encoded bytes one daemon sends for a change',
      unit: 'bytes',
      sizeName: 'replicas (workspaces in proportion)',
      atSize: twoYearSize.replicas,
      line: fitReadings(SIZES, registers, 'bytes'),
    },
  };
}

/** What a change of configuration costs as the register and the fleet grow. */
export const configurationProbe: CapacityProbe = {
  role: 'configuration watch and relay',
  async measure(): Promise<RoleCapacity> {
    const own = await measureDaemonSlopes();
    const spread = await measureSpreadSlopes();
    const zoneRatio = twoYearSize.availabilityZones / ClusterFleet.zones;
    const messages = getWorkedOut(spread.messages);
    const bytes = getWorkedOut(spread.bytes) + messages * FRAME_BYTES;
    return {
      role: 'configuration watch and relay',
      mechanism:
        'configuration: ConfigurationStore, ActiveConfiguration; cluster: StoreWatcher, Gossiper, PartFetch',
      state: 'the configuration in force and the texts of its parts',
      isControl: true,
      daemon: {
        messagesPerSecond: IN_AND_OUT * messages * CHANGES_PER_SECOND,
        bytesPerSecond: IN_AND_OUT * bytes * CHANGES_PER_SECOND,
        core: (getWorkedOut(own.edit) * CHANGES_PER_SECOND) / MILLISECONDS_PER_SECOND,
        memoryBytes: getWorkedOut(own.heap),
      },
      store: {
        readsPerSecond: getWorkedOut(spread.reads) * zoneRatio * CHANGES_PER_SECOND,
        // The changed part, the manifest, and its copy in the archive.
        writesPerSecond: WRITES_PER_CHANGE * CHANGES_PER_SECOND,
        waitingWatches: defaultClusterOptions.watchersPerZone * twoYearSize.availabilityZones,
      },
      slopes: [...Object.values(own), ...Object.values(spread)],
      assumptions: [
        `an edit touches one replica; edits come evenly over the day`,
        `messages and bytes count both ways; HTTP/2, TCP and IP add ${FRAME_BYTES} bytes to a message`,
        `fleets beyond ${FLEETS.at(-1)} daemons are extrapolated; their register holds ${SIZES[0]} replicas`,
        `store reads grow with the availability zones, ${defaultClusterOptions.watchersPerZone} watchers in each (cluster options)`,
      ],
    };
  },
};
