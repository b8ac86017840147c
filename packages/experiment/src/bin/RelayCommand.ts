import type { PlacementOptions } from '@apricotrill/relay';
import { placementOptions } from '@apricotrill/relay';
import { Command, Option, UsageError } from 'clipanion';
import { markdownTable } from 'markdown-table';
import { mean } from 'simple-statistics';
import { drawDeployment, namedDeployments } from '../lib/relay/deployments.js';
import { FleetSimulation } from '../lib/relay/FleetSimulation.js';
import type { RelayDeployment } from '../lib/relay/RelayDeployment.js';
import { summariseDay } from '../lib/relay/summariseDay.js';
import type { DaySummary } from '../lib/relay/summariseDay.js';

const DRAWN = /^drawn-(\d+)$/;

const HEAD = [
  'deployment',
  'seed',
  'worth',
  'worst windows',
  'worst kind',
  'tokens read',
  'copied',
  'preempted',
  'inverted',
  'correlation',
  'error',
];

const KIND_HEAD = [
  'kind',
  'calls',
  'in time',
  'late first',
  'late pause',
  'unserved',
  'p50',
  'p99',
];

function findDeployment(name: string): RelayDeployment {
  const drawn = DRAWN.exec(name);
  if (drawn !== null) {
    return drawDeployment(Number(drawn[1]));
  }
  const create = namedDeployments[name];
  if (create === undefined) {
    const known = [...Object.keys(namedDeployments), 'drawn-N'].join(', ');
    throw new UsageError(`unknown deployment ${name}; known: ${known}`);
  }
  return create();
}

/** Settings of the core as in `readRate=60`, checked against its defaults. */
function parseOptions(settings: readonly string[]): Partial<PlacementOptions> {
  const entries = settings.map((setting) => {
    const [name = '', value = ''] = setting.split('=');
    if (!(name in placementOptions) || value === '' || !Number.isFinite(Number(value))) {
      throw new UsageError(`--set ${setting}: a setting of the core and a number are expected`);
    }
    return [name, Number(value)];
  });
  return Object.fromEntries(entries) as Partial<PlacementOptions>;
}

function getRow(name: string, seed: number, day: DaySummary): string[] {
  return [
    name,
    String(seed),
    ...[day.worth, day.worstWindows, day.worstKind].map((value) => value.toFixed(3)),
    ...[day.prefilledTokens, day.copiedTokens, day.preemptions, day.invertedPreemptions].map(
      (value) => value.toFixed(0),
    ),
    ...[day.correlation, day.predictionError].map((value) => value.toFixed(2)),
  ];
}

function getKindRows({ kinds }: DaySummary): string[][] {
  return kinds.map((kind) => [
    kind.name,
    ...[kind.calls, kind.inTime, kind.lateFirst, kind.latePause, kind.unserved].map(String),
    kind.firstP50.toFixed(0),
    kind.firstP99.toFixed(0),
  ]);
}

/** Plays days on the model of the systems that the relay serves. */
export class RelayCommand extends Command {
  static override paths = [['relay']];

  static override usage = Command.Usage({
    description: "Play a day on a virtual clock with the relay's own placement cores",
    details: `
      Engines, services, callers and the network are models; every decision is that of the core that
      serves in production, one for each daemon. The same seed gives the same figures.
    `,
    examples: [
      ['Two deployments, three seeds', '$0 relay --deployments papers,drafts --seeds 3'],
      ['Deployments drawn by seed', '$0 relay --deployments drawn-1,drawn-2'],
      ['Another setting of the core', '$0 relay --set readingUse=0.6'],
    ],
  });

  deployments = Option.String('--deployments', 'papers', { description: 'Names, with commas' });

  seeds = Option.String('--seeds', '3', { description: 'How many; the default is 3' });

  settings = Option.Array('--set', [], { description: 'A setting of the core, as in name=1' });

  kinds = Option.Boolean('--kinds', false, { description: 'A table of the kinds for each day' });

  execute(): Promise<number> {
    const seeds = Number(this.seeds);
    if (!Number.isInteger(seeds) || seeds < 1) {
      throw new UsageError(`--seeds ${this.seeds}: a whole number from 1 is expected`);
    }
    const options = parseOptions(this.settings);
    const rows = this.deployments.split(',').flatMap((name) => {
      const deployment = findDeployment(name);
      return Array.from({ length: seeds }, (_item, index) => {
        const day = summariseDay(new FleetSimulation(deployment, index + 1, options).run());
        if (this.kinds) {
          this.context.stdout.write(`${markdownTable([KIND_HEAD, ...getKindRows(day)])}\n\n`);
        }
        return { cells: getRow(name, index + 1, day), day };
      });
    });
    const means = (['worth', 'worstWindows', 'worstKind'] as const).map((field) =>
      mean(rows.map(({ day }) => day[field])).toFixed(3),
    );
    this.context.stdout.write(`${markdownTable([HEAD, ...rows.map(({ cells }) => cells)])}\n`);
    this.context.stdout.write(`mean ${means.join(' ')}\n`);
    return Promise.resolve(0);
  }
}
