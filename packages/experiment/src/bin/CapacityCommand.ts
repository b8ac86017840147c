import { execFile } from 'node:child_process';
import { mkdir, readFile, writeFile } from 'node:fs/promises';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { Command, Option, UsageError } from 'clipanion';
import type { CapacityProbe, RoleCapacity } from '../lib/capacity/CapacityProbe.js';
import { formatCapacity } from '../lib/capacity/formatCapacity.js';
import type { CapacityFindings } from '../lib/capacity/formatCapacity.js';
import { createFullSizeInput } from '../lib/capacity/measureFullSize.js';
import type { FullSizeReading } from '../lib/capacity/FullSizeReading.js';
import { readFailures, readTakeover } from '../lib/capacity/probes/readFailures.js';
import { probes } from '../lib/capacity/probes/probes.js';
import { replaceBetweenMarkers } from '../lib/capacity/replaceBetweenMarkers.js';

const PAGE = fileURLToPath(new URL('../../../../docs/CAPACITY.md', import.meta.url));

const SELF = fileURLToPath(new URL('./apricotrill-experiment.js', import.meta.url));

/** Runs in a process of its own, so that the memory read is that of the state alone. */
async function readFullSize(folder: string): Promise<FullSizeReading> {
  const input = path.join(folder, 'full-size-input.json');
  await writeFile(input, JSON.stringify(createFullSizeInput()));
  const { stdout } = await promisify(execFile)(process.execPath, [SELF, 'full-size', input]);
  return JSON.parse(stdout) as FullSizeReading;
}

/** Measures every role and prints the capacity table. */
export class CapacityCommand extends Command {
  static override paths = [['capacity']];

  static override usage = Command.Usage({
    description: 'Measure each role at several sizes and work the two-year size out',
    details: `
      Each role is measured at three or more sizes; a straight line is fitted by least squares and
      shown with its residual. The tables go to the terminal; with --write they also replace those
      in docs/CAPACITY.md, between its markers.
    `,
    examples: [
      ['Everything, and bring the page up to date', '$0 capacity --write'],
      ['Two roles', '$0 capacity --roles admission,claims'],
    ],
  });

  roles = Option.String('--roles', { description: 'Names, with commas; all by default' });

  write = Option.Boolean('--write', false, { description: 'Bring docs/CAPACITY.md up to date' });

  out = Option.String('--out', 'out', { description: 'Output folder; the default is out' });

  async execute(): Promise<number> {
    const chosen = this.getProbes();
    if (this.write && this.roles !== undefined) {
      throw new UsageError('--write needs all roles: leave --roles out');
    }
    await mkdir(this.out, { recursive: true });
    const findings = await this.measure(chosen);
    const tables = formatCapacity(findings);
    this.context.stdout.write(tables);
    const json = JSON.stringify(findings, null, 2);
    await writeFile(path.join(this.out, 'capacity.json'), `${json}\n`);
    if (this.write) {
      await writeFile(PAGE, replaceBetweenMarkers(await readFile(PAGE, 'utf8'), tables));
    }
    return 0;
  }

  private async measure(chosen: CapacityProbe[]): Promise<CapacityFindings> {
    const roles: RoleCapacity[] = [];
    for (let index = 0; index < chosen.length; index += 1) {
      this.context.stderr.write(`${chosen[index]!.role}\n`);
      // eslint-disable-next-line no-await-in-loop
      roles.push(await chosen[index]!.measure());
    }
    if (this.roles !== undefined) {
      return { roles };
    }
    this.context.stderr.write('full size, failures\n');
    const fullSize = await readFullSize(this.out);
    return { roles, fullSize, failures: await readFailures(), takeover: await readTakeover() };
  }

  private getProbes(): CapacityProbe[] {
    const wanted = this.roles?.split(',') ?? probes.map(({ role }) => role);
    return wanted.map((name) => {
      const probe = probes.find(({ role }) => role === name);
      if (probe === undefined) {
        const known = probes.map(({ role }) => role).join(', ');
        throw new UsageError(`unknown role ${name}; known: ${known}`);
      }
      return probe;
    });
  }
}
