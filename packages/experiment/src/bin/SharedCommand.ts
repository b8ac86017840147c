import { mkdir, writeFile } from 'node:fs/promises';
import { totalmem } from 'node:os';
import path from 'node:path';
import { Command, Option, UsageError } from 'clipanion';
import { getAffordableSizes } from '../lib/sharedBench/getAffordableSizes.js';
import { measureShared } from '../lib/sharedBench/measureShared.js';
import { formatBudgets } from '../lib/sharedBench/report/formatBudgets.js';
import { formatHandOver } from '../lib/sharedBench/report/formatHandOver.js';
import { formatSizes } from '../lib/sharedBench/report/formatSizes.js';
import { MOST_ZONES } from '../lib/sharedBench/SharedFleet.js';
import type { SharedReading } from '../lib/sharedBench/SharedReading.js';

const MILLISECONDS_PER_SECOND = 1000;

const MOST_DAEMONS = 400;

const EXIT_SIGNAL = 143;

/** @throws UsageError when it is no whole number of the range */
function readCount(option: string, text: string, least: number, most: number): number {
  const count = Number(text);
  if (!Number.isInteger(count) || count < least || count > most) {
    throw new UsageError(`${option} ${text}: a whole number, ${least} to ${most}, is expected`);
  }
  return count;
}

function formatReading(reading: SharedReading): string {
  const { handOver, sizes } = reading;
  return [
    ...(sizes.length === 0 ? [] : [formatSizes(reading), formatBudgets(reading)]),
    ...(handOver === undefined ? [] : [formatHandOver(handOver)]),
  ].join('\n');
}

/** Measures what daemons share, with daemons as processes. */
export class SharedCommand extends Command {
  static override paths = [['shared']];

  static override usage = Command.Usage({
    description: 'Measure with real daemons what they share and what it costs',
    details: `
      Starts the platform's stand-in, backend servers and fleets of router daemons over several
      availability zones on this machine. For each size: the time from the acceptance of a change
      until it is in force at each daemon; calls to the store, bytes and processor time while idle
      and for a change; memory. Then nine daemons are restarted one after the other under a load of
      checks, holds and streamed chats, and what was lost, doubled, cut or refused is counted.

      The tables go to the terminal, all figures to shared.json in the output folder. The machine's
      load stands beside the figures: on a busy machine they say little about times.
    `,
    examples: [
      ['Everything, about a quarter of an hour', '$0 shared'],
      ['A quick look', '$0 shared --sizes 3 --changes 3 --windows 1 --rounds 0'],
      ['The rolling restart alone', '$0 shared --sizes "" --rounds 3'],
    ],
  });

  sizes = Option.String('--sizes', '3,9,48', {
    description:
      'Numbers of daemons, with commas; cut to what 0.4 of the memory carries; the default is 3,9,48',
  });

  zones = Option.String('--zones', '4', {
    description: `Availability zones, 3 to ${MOST_ZONES}; the default is 4`,
  });

  changes = Option.String('--changes', '15', {
    description: 'Accepted changes at each size; the default is 15',
  });

  windows = Option.String('--windows', '3', {
    description: 'Spans measured while idle; the default is 3',
  });

  seconds = Option.String('--seconds', '20', {
    description: 'Seconds of each span; the default is 20',
  });

  rounds = Option.String('--rounds', '3', {
    description: 'Rolling restarts under load; 0 leaves them out; the default is 3',
  });

  out = Option.String('--out', 'out', { description: 'Output folder; the default is out' });

  async execute(): Promise<number> {
    // The processes that were started end with this one.
    process.once('SIGTERM', () => process.exit(EXIT_SIGNAL));
    process.once('SIGINT', () => process.exit(EXIT_SIGNAL));
    const reading = await measureShared({
      sizes: this.getSizes(),
      zones: readCount('--zones', this.zones, 3, MOST_ZONES),
      changes: readCount('--changes', this.changes, 1, 1000),
      windows: readCount('--windows', this.windows, 1, 100),
      window: readCount('--seconds', this.seconds, 1, 3600) * MILLISECONDS_PER_SECOND,
      rounds: readCount('--rounds', this.rounds, 0, 100),
      onStep: (step) => this.context.stderr.write(`${step}\n`),
    });
    this.context.stdout.write(formatReading(reading));
    await mkdir(this.out, { recursive: true });
    const json = JSON.stringify(reading, null, 2);
    await writeFile(path.join(this.out, 'shared.json'), `${json}\n`);
    return 0;
  }

  private getSizes(): number[] {
    const wanted = this.sizes
      .split(',')
      .filter((text) => text.trim() !== '')
      .map((text) => readCount('--sizes', text, 1, MOST_DAEMONS));
    return getAffordableSizes(wanted, totalmem());
  }
}
