import { readFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import { measureFullSize } from '../lib/capacity/measureFullSize.js';
import type { FullSizeInput } from '../lib/capacity/measureFullSize.js';

/** Loads control state of full size; `capacity` runs it as a process of its own. */
export class FullSizeCommand extends Command {
  static override paths = [['full-size']];

  static override usage = Command.Usage({
    description: 'Load the control state of the two-year size and print what it takes, as JSON',
    details: 'The memory read is that of this process; `capacity` runs it and shows the reading.',
  });

  input = Option.String({ required: true, name: 'file of generations' });

  async execute(): Promise<number> {
    const read = async () => JSON.parse(await readFile(this.input, 'utf8')) as FullSizeInput;
    this.context.stdout.write(`${JSON.stringify(await measureFullSize(read))}\n`);
    return 0;
  }
}
