import { failure, success } from '@apricotrill/utils';
import type { Result } from '@apricotrill/utils';
import { checkRegister } from './checks/checkRegister.js';
import { checkRules } from './checks/checkRules.js';
import { checkRulesAgainstRegister } from './checks/checkRulesAgainstRegister.js';
import type { Diagnostic } from './Diagnostic.js';
import { locateFaults, parseText } from './parseText.js';
import type { ParsedText } from './parseText.js';
import type { Configuration, Register, Rules } from './Register.js';
import { registerSchema } from './schemas/registerSchema.js';
import { rulesSchema } from './schemas/rulesSchema.js';

/**
 * The two texts that operators write.
 *
 * @public
 */
export interface ConfigurationText {
  registerText: string;
  /** Its name, for diagnostics. */
  registerFile: string;
  rulesText: string;
  /** Its name, for diagnostics. */
  rulesFile: string;
}

function readRegister(text: string, file: string): Result<ParsedText<Register>, Diagnostic[]> {
  return parseText(text, file, registerSchema, checkRegister);
}

function readRules(text: string, file: string): Result<ParsedText<Rules>, Diagnostic[]> {
  return parseText(text, file, rulesSchema, checkRules);
}

function getValueResult<Value>(
  result: Result<ParsedText<Value>, Diagnostic[]>,
): Result<Value, Diagnostic[]> {
  return result.ok ? success(result.value.value) : result;
}

/**
 * Reads a register: JSON with comments, checked in itself.
 *
 * @param text - the file's content
 * @param file - its name, for diagnostics
 * @returns the register, or every fault with its line
 * @example
 * ```ts
 * const register = parseRegister(await readFile('register.jsonc', 'utf8'), 'register.jsonc');
 * ```
 * @public
 */
export function parseRegister(text: string, file: string): Result<Register, Diagnostic[]> {
  return getValueResult(readRegister(text, file));
}

/**
 * Reads rules: JSON with comments, checked in themselves but not against a register.
 *
 * @param text - the file's content
 * @param file - its name, for diagnostics
 * @returns the rules, or every fault with its line
 * @example
 * ```ts
 * const rules = parseRules(await readFile('rules.jsonc', 'utf8'), 'rules.jsonc');
 * ```
 * @public
 */
export function parseRules(text: string, file: string): Result<Rules, Diagnostic[]> {
  return getValueResult(readRules(text, file));
}

/**
 * Reads the register and the rules and checks them against each other.
 *
 * @returns the configuration, or the faults of both texts, each with its line
 * @example
 * ```ts
 * const parsed = parseConfiguration({ registerText, registerFile, rulesText, rulesFile });
 * if (!parsed.ok) {
 *   parsed.error.forEach((diagnostic) => console.error(formatDiagnostic(diagnostic)));
 * }
 * ```
 * @public
 */
export function parseConfiguration(source: ConfigurationText): Result<Configuration, Diagnostic[]> {
  const register = readRegister(source.registerText, source.registerFile);
  const rules = readRules(source.rulesText, source.rulesFile);
  if (!register.ok || !rules.ok) {
    return failure([...(register.ok ? [] : register.error), ...(rules.ok ? [] : rules.error)]);
  }
  const faults = checkRulesAgainstRegister(rules.value.value, register.value.value);
  return faults.length > 0
    ? failure(locateFaults(rules.value.text, faults))
    : success({ register: register.value.value, rules: rules.value.value });
}
