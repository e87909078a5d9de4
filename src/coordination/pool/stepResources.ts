/**
 * What a task of a step takes of its worker.
 */
import type { StepDefinition } from "../../protocol/pool/JobDefinition.ts";
import type { Resources } from "../../protocol/Resources.ts";

/**
 * Returns the resources that a task commits on a worker: the processors of a task that uses idle
 * ones are not counted.
 * @param definition - Step of the task.
 */
export function getCommittedResources(definition: StepDefinition): Resources {
  return definition.usesIdleProcessors
    ? { ...definition.resources, processorsMilli: 0 }
    : definition.resources;
}

/**
 * Returns the idle processors that a task uses, in thousandths of a core; 0 if it commits its own.
 * @param definition - Step of the task.
 */
export function getIdleProcessorsMilli({ usesIdleProcessors, resources }: StepDefinition): number {
  return usesIdleProcessors ? resources.processorsMilli : 0;
}
