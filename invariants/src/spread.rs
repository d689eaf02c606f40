//! Invariant 5: a planner runs no more tasks of one service in one domain than the framework's
//! spread allows.
use crate::launches::LaunchArrival;
use crate::InvariantChecker;

impl InvariantChecker {
    /// Counts the planner's tasks of the launch's service in the launch's domain, the launch
    /// included, and reports more than the spread allows.
    pub(crate) fn check_spread(&mut self, arrival: &LaunchArrival) {
        let LaunchArrival { at_us, machine, planner, launch, .. } = *arrival;
        let framework = self.config.frameworks.get(&launch.framework);
        let Some(framework) = framework.filter(|framework| framework.spread != "none") else { return };
        let here = self.locations.get(machine).cloned().unwrap_or_default();
        let near = |other: &str| {
            let there = self.locations.get(other).cloned().unwrap_or_default();
            match framework.spread.as_str() {
                "machine" => other == machine,
                "cell" => there.cell == here.cell && there.zone == here.zone,
                _ => there.zone == here.zone,
            }
        };
        let others = self.launches.of_planner(planner).filter(|sent| {
            let task = self.launches.task(planner, sent.number);
            sent.is_active(at_us) && near(&sent.machine) && task.is_some_and(|t| t.service == launch.service)
        });
        let together = 1 + others.count();
        let most = framework.max_together;
        if together > most {
            let text = format!(
                "{together} tasks of service {} in one {}, the last launched on {machine}; at most {most} allowed",
                launch.service, framework.spread
            );
            self.report(5, at_us, planner, &launch.key, text);
        }
    }
}
