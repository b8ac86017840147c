import type { Configuration } from '@apricotrill/model';
import { Command, Option } from 'clipanion';
import { createRegisterOption, createRulesOption } from '../sharedOptions.js';
import { ExitCode } from '../ExitCode.js';
import { OperatorCommand } from '../OperatorCommand.js';
import { readConfiguration, readSettings } from '../readFiles.js';
import type { Report } from '../Report.js';

function getCounts({ register, rules }: Configuration): Record<string, number> {
  return {
    services: register.services.length,
    replicas: register.replicas.length,
    workspaces: register.workspaces.length,
    classes: rules.classes.length,
    rules: rules.classRules.length,
  };
}

/** `apricotrill validate` */
export class ValidateCommand extends OperatorCommand {
  static override paths = [['validate']];

  static override usage = Command.Usage({
    category: 'Edit',
    description: 'check the files of the register and the rules',
    details: `
      Reads both files as JSON with comments and validates each of them and the references between
      them. Every error is printed with its file, line and column, the reason and what is expected.
      No network calls are made.

      With \`--settings\`, only the settings of a router daemon are validated.

      Exit status: 0 valid, 2 files refused.
    `,
    examples: [
      ['Check the files of this directory', '$0 validate'],
      [
        'Check files elsewhere',
        '$0 validate --register liitto/register.jsonc --rules liitto/rules.jsonc',
      ],
      ['Check the settings of a daemon', '$0 validate --settings router.jsonc'],
    ],
  });

  register = createRegisterOption();

  rules = createRulesOption();

  settings = Option.String('--settings', {
    description: "The path of a daemon's settings, to check instead of the register and the rules.",
  });

  protected async run(): Promise<Report> {
    if (this.settings !== undefined) {
      const settings = await readSettings(this.settings);
      const lines = [`${this.settings} is valid: daemon ${settings.id}`];
      return { exitCode: ExitCode.Done, lines, value: { settings } };
    }
    const counts = getCounts(await readConfiguration(this.register, this.rules));
    const words = Object.entries(counts).map(([what, count]) => `${count} ${what}`);
    const lines = [`${this.register} and ${this.rules} are valid: ${words.join(', ')}`];
    return { exitCode: ExitCode.Done, lines, value: counts };
  }
}
