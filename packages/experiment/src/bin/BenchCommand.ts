import { mkdir, writeFile } from 'node:fs/promises';
import path from 'node:path';
import { Command, Option } from 'clipanion';
import { markdownTable } from 'markdown-table';
import { median } from 'simple-statistics';
import { Bench } from '../lib/bench/Bench.js';
import { measureRelay, SHARE_REQUESTS, SHARE_TOKENS } from '../lib/bench/measureRelay.js';
import type { RelayReading } from '../lib/bench/measureRelay.js';

const MILLISECONDS_PER_SECOND = 1000;

const MEBIBYTE = 2 ** 20;

/** The aims: added time to first byte in milliseconds, and the part of a core at the full share. */
const AIMS = { addedMedian: 1, addedP99: 3, core: 0.1 };

const HEAD = [
  'share of the two-year load',
  'requests/s',
  'tokens/s',
  'core %',
  'ms for 1,000 tokens',
  'resident MB',
  'first byte direct p50 / p99 ms',
  'through p50 / p99 ms',
  'added p50 / p99 ms',
  'failed',
];

function getRow(reading: RelayReading): string[] {
  const { firstByte } = reading;
  const [direct, through, added] = [firstByte.direct, firstByte.through, firstByte.added].map(
    (figures) => `${figures.median.toFixed(2)} / ${figures.p99.toFixed(2)}`,
  );
  return [
    `${reading.share}`,
    reading.requestsPerSecond.toFixed(1),
    reading.tokensPerSecond.toFixed(0),
    (reading.core * 100).toFixed(1),
    reading.perThousandTokens.toFixed(2),
    (reading.residentBytes / MEBIBYTE).toFixed(0),
    direct!,
    through!,
    added!,
    `${reading.failed}`,
  ];
}

function describeAim(name: string, value: number, aim: number, unit: string): string {
  const verdict = value < aim ? 'met   ' : 'MISSED';
  return `${verdict} ${name}: ${value.toFixed(2)} ${unit}, aim under ${aim} ${unit}`;
}

function describeAims(readings: RelayReading[]): string[] {
  const full = readings.filter(({ share }) => share === 1);
  const getMedian = (get: (reading: RelayReading) => number) => median(full.map(get));
  return [
    describeAim(
      'added time to first byte, median',
      getMedian(({ firstByte }) => firstByte.added.median),
      AIMS.addedMedian,
      'ms',
    ),
    describeAim(
      'added time to first byte, 99th',
      getMedian(({ firstByte }) => firstByte.added.p99),
      AIMS.addedP99,
      'ms',
    ),
    describeAim(
      'part of a core at the full share',
      getMedian(({ core }) => core),
      AIMS.core,
      '',
    ),
  ];
}

/** Measures the daemon as a process. */
export class BenchCommand extends Command {
  static override paths = [['bench']];

  static override usage = Command.Usage({
    description: 'Measure the daemon as a process against going direct',
    details: `
      Starts one daemon and three engine stand-ins on this machine, loads the daemon with streamed
      answers at parts of the two-year share (${SHARE_REQUESTS.toFixed(0)} requests and
      ${SHARE_TOKENS.toFixed(0)} tokens a second) and reads its processor time from the kernel.
      Meanwhile probes ask an idle engine by turns with and without the daemon.
    `,
    examples: [['Three rounds', '$0 bench --rounds 3']],
  });

  rounds = Option.String('--rounds', '3', { description: 'Runs at each load; the default is 3' });

  shares = Option.String('--shares', '0.25,0.5,1', {
    description: 'Parts of the two-year share; the default is 0.25,0.5,1',
  });

  seconds = Option.String('--seconds', '10', {
    description: 'Seconds measured in each run; the default is 10',
  });

  out = Option.String('--out', 'out', { description: 'Output folder; the default is out' });

  async execute(): Promise<number> {
    const readings = await this.measure();
    const lines = [
      markdownTable([HEAD, ...readings.map(getRow)]),
      '',
      ...describeAims(readings),
      ...new Set(readings.flatMap(({ lastError }) => lastError ?? [])),
      '',
    ];
    this.context.stdout.write(lines.join('\n'));
    await mkdir(this.out, { recursive: true });
    await writeFile(path.join(this.out, 'bench.json'), `${JSON.stringify(readings, null, 2)}\n`);
    return 0;
  }

  private async measure(): Promise<RelayReading[]> {
    const shares = this.shares.split(',').map(Number);
    const window = Number(this.seconds) * MILLISECONDS_PER_SECOND;
    const runs = Array.from({ length: Number(this.rounds) }, (_, round) =>
      shares.map((share) => ({ share, seed: round + 1 })),
    ).flat();
    const readings: RelayReading[] = [];
    const bench = await Bench.start();
    try {
      for (const { share, seed } of runs) {
        // eslint-disable-next-line no-await-in-loop
        readings.push(await measureRelay(bench, share, window, seed));
        this.context.stderr.write(`\r${readings.length} of ${runs.length} runs`);
      }
    } finally {
      await bench.dispose();
    }
    this.context.stderr.write('\n');
    return readings.sort((left, right) => left.share - right.share);
  }
}
