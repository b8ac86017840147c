import { mkdir, writeFile } from 'node:fs/promises';
import path from 'node:path';
import { Command, Option, UsageError } from 'clipanion';
import { createDeployments } from '../lib/deployments/deployments.js';
import { POLICY, policies } from '../lib/policies/policies.js';
import { aggregate } from '../lib/report/aggregate.js';
import type { Cell } from '../lib/report/aggregate.js';
import { createPlot } from '../lib/report/createPlot.js';
import { formatCells, groupCells } from '../lib/report/formatCells.js';
import { formatAims, getAims } from '../lib/report/getAims.js';
import type { RunKey } from '../lib/report/RunKey.js';
import { scenarios } from '../lib/scenarios/scenarios.js';
import { runAll } from '../lib/simulation/runAll.js';

function pick(known: string[], wanted: string | undefined, what: string): string[] {
  const names = wanted?.split(',') ?? known;
  const unknown = names.filter((name) => !known.includes(name));
  if (unknown.length > 0) {
    throw new UsageError(`unknown ${what} ${unknown.join(', ')}; known: ${known.join(', ')}`);
  }
  return names;
}

/** Compares the policy with its baselines. */
export class PolicyCommand extends Command {
  static override paths = [['policy']];

  static override usage = Command.Usage({
    description: 'Compare the policy with its baselines on both deployments, on a simulated clock',
    details: `
      Each run puts all daemons of a deployment, each with a scheduler of its own, before modelled
      engines and services, with the same calls for each policy. The tables go to the terminal and
      to policy.md in the output folder, all figures to policy.json, the plot to policy.svg.
    `,
    examples: [
      ['Everything, five seeds', '$0 policy'],
      ['One scenario, quickly', '$0 policy --scenarios burst --deployments liitto --seeds 1'],
    ],
  });

  seeds = Option.String('--seeds', '5', { description: 'How many seeds; the default is 5' });

  threads = Option.String('--threads', '2', { description: 'Runs at once; the default is 2' });

  scenarios = Option.String('--scenarios', { description: 'Names, with commas; all by default' });

  policies = Option.String('--policies', { description: 'Names, with commas; all by default' });

  deployments = Option.String('--deployments', {
    description: 'Names, with commas; both by default',
  });

  out = Option.String('--out', 'out', { description: 'Output folder; the default is out' });

  async execute(): Promise<number> {
    const keys = this.getKeys();
    let done = 0;
    const results = await runAll(keys, Number(this.threads), () => {
      done += 1;
      this.context.stderr.write(`\r${done} of ${keys.length} runs`);
    });
    this.context.stderr.write('\n');
    const cells = aggregate(results);
    const aims = formatAims(getAims(cells, POLICY));
    const tables = groupCells(cells).map(formatCells).join('\n');
    this.context.stdout.write(`${tables}\n${aims}\n`);
    await this.writeFiles(cells, `${tables}\n## Aims\n\n\`\`\`text\n${aims}\n\`\`\`\n`);
    return 0;
  }

  private getKeys(): RunKey[] {
    const count = Number(this.seeds);
    if (!Number.isInteger(count) || count < 1) {
      throw new UsageError(`--seeds ${this.seeds}: a whole number from 1 is expected`);
    }
    const seeds = Array.from({ length: count }, (_, index) => index + 1);
    const names = pick(Object.keys(policies), this.policies, 'policy');
    const chosen = pick(Object.keys(scenarios), this.scenarios, 'scenario');
    return pick(Object.keys(createDeployments()), this.deployments, 'deployment').flatMap(
      (deployment) =>
        chosen.flatMap((scenario) =>
          names.flatMap((policy) => seeds.map((seed) => ({ deployment, scenario, policy, seed }))),
        ),
    );
  }

  private async writeFiles(cells: Cell[], tables: string): Promise<void> {
    await mkdir(this.out, { recursive: true });
    await writeFile(path.join(this.out, 'policy.json'), `${JSON.stringify(cells, null, 2)}\n`);
    await writeFile(path.join(this.out, 'policy.md'), tables);
    await writeFile(path.join(this.out, 'policy.svg'), createPlot(cells));
    this.context.stdout.write(`written: policy.json, policy.md, policy.svg in ${this.out}\n`);
  }
}
