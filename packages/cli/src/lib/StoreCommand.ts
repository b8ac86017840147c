import { ConfigurationStore } from '@apricotrill/configuration';
import type { Milliseconds } from '@apricotrill/utils';
import { Option } from 'clipanion';
import { cascade, isAtLeast, isInteger, isNumber } from 'typanion';
import { getRequired } from './getRequired.js';
import { OperatorCommand } from './OperatorCommand.js';

const DEFAULT_CALL_TIMEOUT: Milliseconds = 2000;

/** A whole number that is not below the bound. */
export const isCount = (bound: number) => cascade(isNumber(), [isInteger(), isAtLeast(bound)]);

/** A command that asks the platform's store. */
export abstract class StoreCommand extends OperatorCommand {
  platform = Option.String('--platform', {
    env: 'APRICOTRILL_PLATFORM',
    description: "The platform's URL, such as http://127.0.0.1:8500 (or $APRICOTRILL_PLATFORM).",
  });

  callTimeout = Option.String('--call-timeout', String(DEFAULT_CALL_TIMEOUT), {
    validator: isCount(1),
    description: `How long one call may take, in ms; ${DEFAULT_CALL_TIMEOUT} by default.`,
  });

  protected getPlatform(): string {
    return getRequired(this.platform, '--platform', 'name the URL of the platform');
  }

  /** Opens the store for as long as the use of it takes. */
  protected async useStore<Answer>(
    use: (store: ConfigurationStore) => Promise<Answer>,
  ): Promise<Answer> {
    const { clock, openStore } = this.context;
    const { store, dispose } = openStore(this.getPlatform(), Number(this.callTimeout));
    try {
      return await use(new ConfigurationStore({ store, clock }));
    } finally {
      await dispose();
    }
  }
}
