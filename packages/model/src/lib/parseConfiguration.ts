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
 * The contents and names of the two configuration files, register and rules.
 *
 * @public
 */
export interface ConfigurationText {
  registerText: string;
  /** File name, for diagnostics. */
  registerFile: string;
  rulesText: string;
  /** File name, for diagnostics. */
  rulesFile: string;
}

function parseRegisterText(text: string, file: string): Result<ParsedText<Register>, Diagnostic[]> {
  return parseText(text, file, registerSchema, checkRegister);
}

function parseRulesText(text: string, file: string): Result<ParsedText<Rules>, Diagnostic[]> {
  return parseText(text, file, rulesSchema, checkRules);
}

function getValueResult<Value>(
  result: Result<ParsedText<Value>, Diagnostic[]>,
): Result<Value, Diagnostic[]> {
  return result.ok ? success(result.value.value) : result;
}

/**
 * Parses a register (JSON with comments) and validates it.
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
  return getValueResult(parseRegisterText(text, file));
}

/**
 * Parses rules (JSON with comments) and validates them, but not against a register.
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
  return getValueResult(parseRulesText(text, file));
}

/**
 * Parses the register and the rules and validates them, also against each other.
 *
 * @returns the configuration, or the faults of both files, each with its line
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
  const register = parseRegisterText(source.registerText, source.registerFile);
  const rules = parseRulesText(source.rulesText, source.rulesFile);
  if (!register.ok || !rules.ok) {
    return failure([...(register.ok ? [] : register.error), ...(rules.ok ? [] : rules.error)]);
  }
  const faults = checkRulesAgainstRegister(rules.value.value, register.value.value);
  return faults.length > 0
    ? failure(locateFaults(rules.value.text, faults))
    : success({ register: register.value.value, rules: rules.value.value });
}
