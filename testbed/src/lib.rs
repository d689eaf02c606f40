//! Stand-ins for what a planner meets: machines, the register, owners. They speak the agent protocol and know
//! nothing of the planner's insides. `rough` spoils their links, `day` plays a scripted day of trouble,
//! `drill` starts planners as processes of their own and judges the day by the traffic; `rig` has voters,
//! seats and spares for it, with `relay`s between them.
pub mod day;
pub mod directory;
pub mod drill;
pub mod feast;
pub mod hollow;
pub mod how;
pub mod machine;
pub mod owner;
pub mod register;
pub mod relay;
pub mod rig;
pub mod rough;
