import { Bench } from '../../bench/Bench.js';
import { measureRelay } from '../../bench/measureRelay.js';
import type { RelayReading } from '../../bench/measureRelay.js';
import { fitLine } from '../../measure/fitLine.js';
import type { CapacityProbe, RoleCapacity, Slope } from '../CapacityProbe.js';
import { getWorkedOut, NO_STORE_COST } from '../CapacityProbe.js';
import { DAEMON_REQUESTS, DAEMON_TOKENS } from '../twoYearSize.js';

const SHARES = [0.25, 0.5, 1];

const WINDOW = 8_000;

/** Bytes of one token's event as the stand-in engine writes it, received once and sent once. */
const EVENT_BYTES = 2 * 210;

async function readShares(): Promise<RelayReading[]> {
  const bench = await Bench.start();
  const readings: RelayReading[] = [];
  try {
    for (let index = 0; index < SHARES.length; index += 1) {
      // eslint-disable-next-line no-await-in-loop
      readings.push(await measureRelay(bench, SHARES[index]!, WINDOW, index + 1));
    }
  } finally {
    await bench.dispose();
  }
  return readings;
}

function createSlope(
  readings: RelayReading[],
  figure: string,
  unit: string,
  getValue: (reading: RelayReading) => number,
): Slope {
  const points = readings.map((reading) => ({
    size: reading.tokensPerSecond,
    value: getValue(reading),
  }));
  return { figure, unit, sizeName: 'tokens/s', line: fitLine(points), atSize: DAEMON_TOKENS };
}

/** What relaying answers costs a running daemon. */
export const relayProbe: CapacityProbe = {
  role: 'relay of requests',
  async measure(): Promise<RoleCapacity> {
    const readings = await readShares();
    const core = createSlope(
      readings,
      'part of a core of the process',
      '',
      (reading) => reading.core,
    );
    const memory = createSlope(
      readings,
      'resident bytes of the process',
      'bytes',
      ({ residentBytes }) => residentBytes,
    );
    return {
      role: 'relay of requests',
      mechanism: 'router: CallerServer, RequestRunner, ChatStreamReader, ChatStreamSink',
      state: 'one record for each request in flight',
      isControl: false,
      daemon: {
        messagesPerSecond: DAEMON_TOKENS + DAEMON_REQUESTS,
        bytesPerSecond: DAEMON_TOKENS * EVENT_BYTES,
        core: getWorkedOut(core),
        memoryBytes: getWorkedOut(memory),
      },
      store: NO_STORE_COST,
      slopes: [core, memory],
      assumptions: [
        'processor time and memory are those of the whole process, admission and choice included; decision logs are on',
        `a token's event takes ${EVENT_BYTES / 2} bytes on each side (stand-in engine)`,
        'the daemon runs alone on files, so that control costs nothing here',
      ],
    };
  },
};
