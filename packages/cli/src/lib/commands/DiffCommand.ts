import { EMPTY_CONFIGURATION, getConfigurationDiff } from '@apricotrill/configuration';
import type { AcceptedChange } from '@apricotrill/configuration';
import { Command } from 'clipanion';
import { createRegisterOption, createRulesOption } from '../sharedOptions.js';
import { ExitCode } from '../ExitCode.js';
import { readConfiguration } from '../readFiles.js';
import type { Report } from '../Report.js';
import { StoreCommand } from '../StoreCommand.js';
import { formatChange } from '../text/formatChange.js';
import { formatDiff } from '../text/formatDiff.js';

function getHeading(accepted: AcceptedChange | undefined): string {
  return accepted === undefined ? 'nothing is accepted yet' : `accepted: ${formatChange(accepted)}`;
}

/** `apricotrill diff` */
export class DiffCommand extends StoreCommand {
  static override paths = [['diff']];

  static override usage = Command.Usage({
    category: 'Edit',
    description: 'show how the files differ from the accepted configuration',
    details: `
      Validates the files, reads the accepted configuration and prints what applying the files would
      add (+), remove (-) and change (~). The last line shows the generation that the files were
      compared with, which \`apply\` takes as \`--base\`.

      Exit status: 0 no differences, 6 differences, 2 files refused, 4 no answer from the store.
    `,
    examples: [
      ['Compare the files of this directory', '$0 diff --platform http://127.0.0.1:8500'],
      ['For a script', '$0 diff --platform http://127.0.0.1:8500 --json'],
    ],
  });

  register = createRegisterOption();

  rules = createRulesOption();

  protected async run(): Promise<Report> {
    const edited = await readConfiguration(this.register, this.rules);
    const accepted = await this.useStore((store) => store.read());
    const from = accepted?.configuration ?? EMPTY_CONFIGURATION;
    const differences = getConfigurationDiff(from, edited);
    const generation = accepted?.manifest.generation ?? 0;
    const isSame = differences.length === 0;
    const lines = [getHeading(accepted?.manifest), ...formatDiff(differences)];
    return {
      exitCode: isSame ? ExitCode.Done : ExitCode.Different,
      lines: isSame ? lines : [...lines, `to accept this: apply --base ${generation}`],
      value: { generation, differences },
    };
  }
}
