import { ConfigurationError } from '@apricotrill/configuration';
import type { ConfigurationStore } from '@apricotrill/configuration';
import { Command, Option } from 'clipanion';
import { ExitCode } from '../ExitCode.js';
import type { Report } from '../Report.js';
import { StoreCommand, isIntegerFrom } from '../StoreCommand.js';

const JSON_INDENT = 2;

/** `apricotrill show` */
export class ShowCommand extends StoreCommand {
  static override paths = [['show']];

  static override usage = Command.Usage({
    category: 'Watch',
    description: 'print the accepted register or rules',
    details: `
      Prints the accepted register or rules in the format of the operators' files, without their
      comments. Use it to merge after a conflict, or to return to an earlier generation by applying
      it again. About two hundred generations are kept.

      Exit status: 0 printed, 4 no answer from the store, 7 the generation is not kept.
    `,
    examples: [
      ['The accepted rules', '$0 show rules --platform http://127.0.0.1:8500'],
      ['The register of generation 11', '$0 show register --generation 11 > register.jsonc'],
    ],
  });

  part = Option.String({ name: 'register|rules' });

  generation = Option.String('--generation', {
    validator: isIntegerFrom(1),
    description: 'The generation to print; the accepted one by default.',
  });

  protected async run(): Promise<Report> {
    const { manifest, configuration } = await this.useStore((store) => this.read(store));
    const value = this.part === 'rules' ? configuration.rules : configuration.register;
    return {
      exitCode: ExitCode.Done,
      lines: [JSON.stringify(value, undefined, JSON_INDENT)],
      value: { generation: manifest.generation, [this.part]: value },
    };
  }

  private async read(store: ConfigurationStore) {
    const wanted = this.generation === undefined ? undefined : Number(this.generation);
    const accepted = await store.read();
    const isAccepted = wanted === undefined || wanted === accepted?.manifest.generation;
    const found = isAccepted ? accepted : await store.readArchived(wanted);
    if (found === undefined) {
      const reason =
        wanted === undefined ? 'nothing is accepted yet' : `generation ${wanted} is not kept`;
      throw new ConfigurationError(reason, { step: 'show', peer: this.getPlatform() });
    }
    return found;
  }
}
