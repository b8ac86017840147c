import { ConfigurationStore } from '@apricotrill/configuration';
import type { Milliseconds } from '@apricotrill/utils';
import { Option, UsageError } from 'clipanion';
import { cascade, isAtLeast, isInteger, isNumber } from 'typanion';
import { getRequiredOption } from './getRequiredOption.js';
import { OperatorCommand } from './OperatorCommand.js';

const DEFAULT_CALL_TIMEOUT_MS: Milliseconds = 2000;

function isHttpUrl(text: string): boolean {
  return URL.canParse(text) && ['http:', 'https:'].includes(new URL(text).protocol);
}

/** Validates an integer that is at least `min`. */
export const isIntegerFrom = (min: number) => cascade(isNumber(), [isInteger(), isAtLeast(min)]);

/** A command that uses the platform's store. */
export abstract class StoreCommand extends OperatorCommand {
  platform = Option.String('--platform', {
    env: 'APRICOTRILL_PLATFORM',
    description: "The platform's URL, such as http://127.0.0.1:8500 (or $APRICOTRILL_PLATFORM).",
  });

  callTimeout = Option.String('--call-timeout', String(DEFAULT_CALL_TIMEOUT_MS), {
    validator: isIntegerFrom(1),
    description: `Timeout of one call, in ms; ${DEFAULT_CALL_TIMEOUT_MS} by default.`,
  });

  protected getPlatform(): string {
    const hint = 'give the URL of the platform, such as http://127.0.0.1:8500';
    const platform = getRequiredOption(this.platform, '--platform', hint);
    if (!isHttpUrl(platform)) {
      throw new UsageError(`--platform is not an HTTP URL: "${platform}"; ${hint}`);
    }
    return platform;
  }

  /** Opens the store, calls `use` with it, and closes it again. */
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
