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
      Reads both files as JSON with comments and checks them, each in itself and against each other.
      Every fault is printed with its file, line and column, the reason and what would be right.
      Nothing is sent anywhere.

      With \`--settings\` it checks the settings of a router daemon and nothing else.

      Exit status: 0 right, 2 refused.
    `,
    examples: [
      ['Check the files of this directory', '$0 validate'],
      ['Check others', '$0 validate --register liitto/register.jsonc --rules liitto/rules.jsonc'],
      ['Check the settings of a daemon', '$0 validate --settings router.jsonc'],
    ],
  });

  register = createRegisterOption();

  rules = createRulesOption();

  settings = Option.String('--settings', {
    description: "The file of a daemon's settings, to check in place of the others.",
  });

  protected async run(): Promise<Report> {
    if (this.settings !== undefined) {
      const settings = await readSettings(this.settings);
      const lines = [`${this.settings} is right: daemon ${settings.id}`];
      return { exitCode: ExitCode.Done, lines, value: { settings } };
    }
    const counts = getCounts(await readConfiguration(this.register, this.rules));
    const words = Object.entries(counts).map(([what, count]) => `${count} ${what}`);
    const lines = [`${this.register} and ${this.rules} are right: ${words.join(', ')}`];
    return { exitCode: ExitCode.Done, lines, value: counts };
  }
}
